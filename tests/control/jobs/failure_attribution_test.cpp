#include "control/jobs/failure_attribution.h"
#include "tests/control/jobs/leader_bench.h"

#include <catch2/catch.hpp>

using namespace gentiancross;
using namespace gentiancross::tests;

namespace {

const JobId failing("00000000000000aa");
const WorkerId first("v");
const WorkerId second("w");

} // namespace

TEST_CASE("A failure counts against the worker until its job has failed on another one")
{
    FailureAttribution attribution;
    CHECK(attribution.recordFailure(failing, first).cause == FailureCause::Worker);
    CHECK(attribution.recordFailure(failing, first).cause == FailureCause::Worker);
    const FailureAttribution::Verdict elsewhere = attribution.recordFailure(failing, second);
    CHECK(elsewhere.cause == FailureCause::Job);
    CHECK(elsewhere.exonerated == first);
    const FailureAttribution::Verdict again = attribution.recordFailure(failing, first);
    CHECK(again.cause == FailureCause::Job);
    CHECK_FALSE(again.exonerated.has_value());
    attribution.recordSuccess(failing);
    CHECK(attribution.recordFailure(failing, second).cause == FailureCause::Worker);
}

// Guards against services whose tasks always fail, and which made all workers be avoided: jobs of
// other tenants were never started.
TEST_CASE("Services that fail on all workers keep none from being used")
{
    constexpr std::uint32_t Workers = 3;
    constexpr std::uint32_t Services = 3;
    LeaderBench bench;
    bench.configure();
    std::map<WorkerId, std::uint64_t> ends;
    const auto sendHeartbeats = [&] {
        for (std::uint32_t number = 0; number < Workers; ++number)
            bench.sendHeartbeat("w" + std::to_string(number));
    };
    sendHeartbeats();
    StepSpec service = makeStep(Workers, 100);
    service.isLongRunning = true;
    service.maxPerWorker = 1;
    for (std::uint32_t number = 0; number < Services; ++number)
        bench.submit("00000000000000a" + std::to_string(number), {service});
    for (int round = 0; round < 4; ++round) {
        sendHeartbeats();
        std::map<WorkerId, std::vector<ReportedCompletion>> failed;
        for (const CallWorker &start : bench.takeStarts()) {
            const auto &order = std::get<OrderStart>(start.order);
            bench.answer(start, WorkerVerdict::Done);
            const WorkerId &worker = start.incarnation.worker;
            failed[worker].push_back({CompletionNumber(++ends[worker]),
                                      order.task,
                                      order.run,
                                      RunEnding::Failed,
                                      {}});
        }
        for (const auto &[worker, completions] : failed)
            bench.answerLeaseRenewal(worker.value(), {}, completions);
    }
    sendHeartbeats();
    bench.takeStarts();
    bench.submit("00000000000000b0", {makeStep(Workers, 700)});
    std::set<WorkerId> used;
    for (const CallWorker &start : bench.takeStarts())
        used.insert(start.incarnation.worker);
    CHECK(used.size() == Workers);
}
