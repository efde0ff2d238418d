#include "control/jobs/advice_coordinator.h"

#include <catch2/catch.hpp>

#include <string>

using namespace gentiancross;

namespace {

const AdviceTerms shortTerms{19'000, 280, Milliseconds(2500)};
const AdviceTerms longTerms{370'000, 5'300, Milliseconds(2500)};

struct AdviceBench
{
    AdviceBench()
        : advice(HostId("self"))
    {
        for (int number = 1; number <= 6; ++number)
            advice.recordHostSeen(now, HostId("e" + std::to_string(number)));
    }

    /** Sends a query; returns the host it went to and its id. */
    std::pair<std::string, AdviceRequestId> query(const StepRef &step, const AdviceTerms &terms)
    {
        advice.query(now, step, terms, {WorkerId("w")}, out);
        for (const Effect &effect : out.take()) {
            if (const auto *message = std::get_if<SendToPeer>(&effect))
                return {message->to.value(), std::get<AdviceRequest>(message->message).id};
            if (const auto *own = std::get_if<AdviceRequest>(&effect))
                return {"self", own->id};
        }
        return {};
    }

    Instant now{1000};
    Outbox out{false};
    AdviceCoordinator advice;
};

StepRef makeStepRef(int number)
{
    return {JobId("job" + std::to_string(number)), 0, 0};
}

} // namespace

TEST_CASE("A query that a host leaves unanswered goes to another host soon")
{
    // Guards against urgent steps that wait 1.5 s for hosts that were killed during a query.
    AdviceBench bench;
    const auto [first, id] = bench.query(makeStepRef(1), shortTerms);
    CHECK_FALSE(bench.advice.canQuery(bench.now, makeStepRef(1), shortTerms));
    Milliseconds waited;
    while (!bench.advice.canQuery(bench.now, makeStepRef(1), shortTerms)) {
        bench.now = bench.now + Milliseconds(50);
        waited += Milliseconds(50);
        bench.advice.tick(bench.now, bench.out);
        REQUIRE(waited < Milliseconds(500));
    }
    CHECK(bench.query(makeStepRef(1), shortTerms).first != first);
    // The late answer is ignored.
    bench.advice.receive(bench.now, {id, true, {{WorkerId("w"), "late"}}, Milliseconds(2500)},
                         bench.out);
    CHECK(bench.advice.adviceFor(bench.now, makeStepRef(1)).ticket(WorkerId("w")) == nullptr);
}

TEST_CASE("Long queries leave hosts free for short ones")
{
    // A burst of large jobs arrives, and each of their steps keeps the adviser busy for half a
    // second.
    AdviceBench bench;
    int asked = 0;
    while (asked < 10 && bench.advice.canQuery(bench.now, makeStepRef(asked), longTerms))
        bench.query(makeStepRef(asked++), longTerms);
    CHECK(asked >= 2);
    CHECK(asked < 6);
    std::set<std::string> hosts;
    for (int number = 20; number < 22; ++number) {
        REQUIRE(bench.advice.canQuery(bench.now, makeStepRef(number), shortTerms));
        hosts.insert(bench.query(makeStepRef(number), shortTerms).first);
    }
    CHECK(hosts.size() == 2);
}

TEST_CASE("A ticket is used until shortly before it expires, and not after its worker refused it")
{
    AdviceBench bench;
    const StepRef step = makeStepRef(1);
    const AdviceRequestId queryId = bench.query(step, shortTerms).second;
    bench.advice.receive(bench.now, {queryId, true, {{WorkerId("w"), "t"}}, Milliseconds(2500)},
                         bench.out);
    REQUIRE(bench.advice.adviceFor(bench.now, step).ticket(WorkerId("w")) != nullptr);
    CHECK(bench.advice.adviceFor(bench.now + Milliseconds(2400), step).ticket(WorkerId("w"))
          == nullptr);
    bench.advice.dropTicket(step, WorkerId("w"));
    CHECK(bench.advice.adviceFor(bench.now, step).ticket(WorkerId("w")) == nullptr);
    const AdviceRequestId empty = bench.query(step, shortTerms).second;
    bench.advice.receive(bench.now, {empty, true, {}, Milliseconds(2500)}, bench.out);
    CHECK(bench.advice.adviceFor(bench.now, step).isUnsuitable(WorkerId("w")));
}
