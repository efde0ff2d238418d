#include "tests/control/jobs/leader_bench.h"

#include <catch2/catch.hpp>

using namespace gentiancross;
using namespace gentiancross::tests;

namespace {

constexpr AdviceTerms Terms{26'000, 380, Milliseconds(2000)};
const std::vector<std::string> expiredJobs
        = {"00000000000000a1", "00000000000000a2", "00000000000000a3"};
const std::string onTimeJob = "00000000000000b1";

/** Jobs of an urgent queue that have expired before there was a worker, and a job of a less urgent
 * queue that can be on time for a minute. */
class LateCell
{
public:
    LateCell()
    {
        ConfigDocument document = makeDocument({}, Terms);
        QueueConfig later = document.queues[0];
        later.queue = QueueId("later");
        later.pathPrefix = "/later/";
        later.priority = 2;
        later.allowance = Milliseconds(60'000);
        document.queues.push_back(later);
        bench.configure(document);
        for (const std::string &id : expiredJobs)
            bench.submit(id, {makeStep(1, 100)});
        bench.advance(10'000);
        JobSpec spec;
        spec.steps = {makeStep(1, 100)};
        bench.call(JobCall{
                JobVerb::Submit, "h", "/later/" + onTimeJob, ApiKey("key-of-alpha"), spec, {}});
    }

    /** Lets the adviser approve what it is asked, and returns the starts. */
    std::vector<CallWorker> approveAll()
    {
        for (int round = 0; round < 5; ++round) {
            bench.grantTickets();
            bench.advance(50);
        }
        return bench.takeStarts();
    }

    LeaderBench bench;
};

} // namespace

// Guards against expired work that takes the adviser's time from work that can still be on time,
// and against expired work that never runs.
TEST_CASE("Expired steps request advice after other work, one at a time, and all of them run")
{
    LateCell cell;
    LeaderBench &bench = cell.bench;
    bench.sendHeartbeat("w");
    const std::vector<AdviceRequest> requests = bench.takeAdviceRequests();
    REQUIRE(requests.size() == 2);
    CHECK(requests[0].step.job == JobId(onTimeJob));
    bench.receiveAdvice({requests[0].id, true, {{WorkerId("w"), "ticket"}}, Terms.validity});
    bench.receiveAdvice({requests[1].id, true, {{WorkerId("w"), "ticket"}}, Terms.validity});
    CHECK(cell.approveAll().size() == expiredJobs.size() + 1);
}

// Guards against a plan in which expired work of an urgent queue takes the last free capacity.
TEST_CASE("Work of a less urgent queue that can be on time starts before expired work")
{
    LateCell cell;
    WorkerHeartbeat heartbeat = cell.bench.makeHeartbeat("w");
    heartbeat.report.capacity.cores = MilliCores(100);
    cell.bench.call(heartbeat);
    const std::vector<CallWorker> starts = cell.approveAll();
    REQUIRE(starts.size() == 1);
    CHECK(std::get<OrderStart>(starts[0].order).task.step.job == JobId(onTimeJob));
}
