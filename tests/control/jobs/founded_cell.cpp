#include "tests/control/jobs/founded_cell.h"

#include "tests/control/jobs/job_fixture.h"

#include <catch2/catch.hpp>

namespace gentiancross::tests {

PutConfiguration makePut(std::uint64_t version)
{
    ConfigDocument document;
    document.version = DocumentVersion(version);
    document.source = "version " + std::to_string(version);
    QueueConfig queue;
    queue.queue = QueueId("checks");
    queue.host = "h";
    queue.pathPrefix = "/q/";
    queue.timeout = Milliseconds(3000);
    queue.pool = PoolId("pool");
    queue.isPublic = true;
    document.queues = {queue};
    document.pools = {{PoolId("pool"), false}};
    return {document, {}};
}

JobCall makeSubmit(int number)
{
    JobSpec spec;
    spec.steps = {makeStep(1, 100)};
    const std::string digits = std::to_string(number);
    return {JobVerb::Submit,
            "h",
            "/q/" + std::string(16 - digits.size(), '0') + digits,
            {},
            spec,
            {}};
}

JobCall makeLook(int number)
{
    JobCall call = makeSubmit(number);
    call.verb = JobVerb::Status;
    call.spec = {};
    return call;
}

bool isDone(const CallAnswer *answer)
{
    return answer != nullptr && std::holds_alternative<CallDone>(*answer);
}

bool isShown(const CallAnswer *answer)
{
    return answer != nullptr && std::holds_alternative<JobStateReport>(*answer);
}

std::string sourceOf(const CallAnswer *answer)
{
    const auto *shown = answer == nullptr ? nullptr : std::get_if<ConfigurationReport>(answer);
    return shown == nullptr ? std::string() : shown->source;
}

FoundedCell::FoundedCell(int keepers, std::uint64_t seed, VoterOptions voters)
    : group(keepers, seed, voters)
{
    group.advance(4000);
    const ExchangeId put = group.call("k1", makePut(1));
    group.wait(put, 2000);
    REQUIRE(isDone(group.answer(put)));
}

bool FoundedCell::submit(const std::string &host, int number, std::int64_t within)
{
    const ExchangeId exchange = group.call(host, makeSubmit(number), within);
    group.wait(exchange, within);
    return isDone(group.answer(exchange));
}

bool FoundedCell::knows(const std::string &host, int number)
{
    const ExchangeId exchange = group.call(host, makeLook(number));
    group.wait(exchange, 3000);
    return isShown(group.answer(exchange));
}

} // namespace gentiancross::tests
