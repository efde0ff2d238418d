#include "tests/control/jobs/leader_bench.h"

#include <catch2/catch.hpp>

#include <set>

using namespace gentiancross;
using namespace gentiancross::tests;

namespace {

const std::string job = "00000000000000aa";
constexpr Milliseconds Validity{1000};

/** A cell with a step of two tasks that need tickets, and two workers with room for one each: "v",
 * and "none", which may not run the step. */
class TicketBench
{
public:
    explicit TicketBench(bool isGang)
    {
        m_bench.configure({}, AdviceTerms{26'000, 380, Validity});
        StepSpec step = makeStep(2, 600);
        step.isGang = isGang;
        m_bench.sendHeartbeat("none");
        m_bench.sendHeartbeat("v");
        m_bench.submit(job, {step});
    }

    /** Answers the queries so far, and returns the workers that were approved. */
    std::set<std::string> approve()
    {
        std::set<std::string> workers;
        for (const AdviceRequest &request : m_bench.takeAdviceRequests()) {
            AdviceResponse response{request.id, true, {}, Validity};
            for (const WorkerId &worker : request.workers) {
                if (worker.value() == "none")
                    continue;
                workers.insert(worker.value());
                response.good.push_back({worker, "ticket-" + worker.value()});
            }
            m_bench.receiveAdvice(response);
        }
        return workers;
    }
    LeaderBench &bench() { return m_bench; }

private:
    LeaderBench m_bench;
};

} // namespace

// Guards against starts that wait for the log until their ticket has expired: the worker refuses
// them, and those of the gang's members that have started wait in vain.
TEST_CASE("A start whose ticket expires before its record is durable is not sent")
{
    const bool isGang = GENERATE(false, true);
    TicketBench cell(isGang);
    LeaderBench &bench = cell.bench();
    bench.pauseLog();
    cell.approve();
    bench.advance(300);
    bench.sendHeartbeat("w");
    cell.approve();
    bench.advance(700);
    bench.resumeLog();
    const std::vector<CallWorker> starts = bench.takeStarts();
    if (isGang) {
        CHECK(starts.empty());
    } else {
        REQUIRE(starts.size() == 1);
        CHECK(starts[0].incarnation.worker.value() == "w");
    }
    // The step is asked about again at once, and starts without any wait.
    CHECK(cell.approve() == std::set<std::string>{"v"});
    CHECK(bench.takeStarts().size() == (isGang ? 2 : 1));
}

// Guards against members of a gang that wait `gang_ms` for one whose start was refused.
TEST_CASE("A gang is stopped at once when a worker refuses to start one of its members")
{
    TicketBench cell(true);
    LeaderBench &bench = cell.bench();
    cell.approve();
    bench.sendHeartbeat("w");
    cell.approve();
    const std::vector<CallWorker> starts = bench.takeStarts();
    REQUIRE(starts.size() == 2);
    const bool isRefusedFirst = GENERATE(false, true);
    const WorkerVerdict refusal = WorkerVerdict::NoTicket;
    bench.answer(starts[0], isRefusedFirst ? refusal : WorkerVerdict::Done);
    bench.answer(starts[1], isRefusedFirst ? WorkerVerdict::Done : refusal);
    // What has become due leaves with the next tick.
    bench.advance(50);
    const std::vector<CallWorker> stops = bench.takeStops();
    REQUIRE(stops.size() == 1);
    CHECK(stops[0].incarnation == starts[isRefusedFirst ? 1 : 0].incarnation);
    CHECK(bench.takeStarts().empty());
}
