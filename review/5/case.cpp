// A tenant at its cap hands in large jobs, and other tenants' jobs of a lower priority do not
// start, although nearly all of the service is free.
#include "standin.h"

using namespace review;

namespace {

constexpr int Workers = 6;
constexpr std::int64_t WorkerCpu = 32'000;
constexpr std::int64_t CapA = 16'000;
/** The platform's `finish_s`. */
constexpr std::int64_t FinishMs = 14'000;
constexpr std::int64_t IdleMs = 3'000;
const char *const LargeJobs[] = {"00000000000000a1", "00000000000000a2", "00000000000000a3"};
const char *const Job = "00000000000000b1";

Outcome play(Record &record)
{
    RunBook runs(record);
    Cell cell({3, 2, {}}, record);
    Adviser adviser;
    if (!adviser.start(cell.adviserIp(), 8182, 24.0, 0.34, 2000) || !cell.start())
        return CouldNotRun;
    std::vector<std::unique_ptr<Worker>> workers;
    for (int number = 1; number <= Workers; ++number) {
        WorkerOptions options;
        options.id = "i-" + std::to_string(number);
        options.ip = cell.ip(5, number);
        options.service = ServiceName;
        options.zone = "z" + std::to_string(1 + number % 3);
        options.rack = "r" + std::to_string(number % 2);
        options.cpu = WorkerCpu;
        workers.push_back(std::make_unique<Worker>(options, cell.controls(), runs, record));
        if (!workers.back()->start())
            return CouldNotRun;
    }
    const std::vector<RouteOptions> routes{{"r-checks", "/checks/", 0, 3, 250},
                                           {"r-forecasts", "/forecasts/", 2, 3, 1200}};
    const std::vector<TenantOptions> tenants{{"tenant-a", {"key-a-1"}, CapA},
                                             {"tenant-b", {"key-b-1"}, 0}};
    if (!cell.putConfiguration(makeConfiguration(3, routes, tenants), 15'000)
        || !cell.waitUntilReady(10'000))
        return CouldNotRun;
    sleepMs(5000);

    const std::string front = cell.fronts()[0];
    const std::string small
            = R"({"spec":"ms=1000","steps":[{"count":2,"cpu":4000,"mem_mb":64,"est_ms":1000}]})";
    // A job of each queue shows that the path works.
    for (const char *path : {"/checks/00000000000000aa", "/forecasts/00000000000000ab"}) {
        if (clientCall(record, front, "POST", path, "key-b-1", small).status != 200)
            return CouldNotRun;
    }
    if (!waitFor(6000, [&] {
            return runs.ofJob("00000000000000aa").size() == 2
                    && runs.ofJob("00000000000000ab").size() == 2;
        }))
        return CouldNotRun;
    sleepMs(1500);

    if (hasTrouble()) {
        record.line("disruption: tenant-a hands in large jobs at once; its cap is "
                    + std::to_string(CapA / 1000) + " cores of "
                    + std::to_string(Workers * WorkerCpu / 1000));
        const std::string large
                = R"({"spec":"ms=2000","steps":[{"count":36,"cpu":7600,"mem_mb":64,"est_ms":2000}]})";
        for (const char *job : LargeJobs) {
            if (clientCall(record, front, "POST", std::string("/checks/") + job, "key-a-1", large)
                        .status
                != 200)
                return CouldNotRun;
        }
        sleepMs(1000);
    }
    if (clientCall(record, front, "POST", std::string("/forecasts/") + Job, "key-b-1", small).status
        != 200)
        return CouldNotRun;
    record.line("the traffic ends here");
    sleepMs(FinishMs);
    std::size_t most = 0;
    bool hasIdled = runs.ofJob(Job).empty();
    for (const std::int64_t end = nowMs() + IdleMs; nowMs() < end; sleepMs(20)) {
        std::size_t running = 0;
        for (const auto &worker : workers)
            running += worker->runningCount();
        most = std::max(most, running);
        hasIdled = hasIdled && runs.ofJob(Job).empty();
    }
    const Reply state
            = clientCall(record, front, "GET", std::string("/forecasts/") + Job, "key-b-1");
    if (!cell.areAllRunning() || state.status != 200)
        return CouldNotRun;
    record.line("from " + std::to_string(FinishMs) + " to " + std::to_string(FinishMs + IdleMs)
                + " ms after the end of the traffic: runs of job " + Job + " so far: "
                + std::to_string(runs.ofJob(Job).size()) + ", state \"" + stateIn(state)
                + "\"; tasks at work on all workers at most " + std::to_string(most)
                + ", each of 7.6 cores at most, of " + std::to_string(Workers * WorkerCpu / 1000)
                + " cores; tenant-b has no cap and nothing running");
    const bool isHalfFree = std::int64_t(most) * 7600 * 2 < Workers * WorkerCpu;
    return hasIdled && isHalfFree ? Broken : Held;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, &play);
}
