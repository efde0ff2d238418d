// A job of many steps occupies the leader's control thread, and jobs of other tenants stop.
#include "standin.h"

using namespace review;

namespace {

constexpr int Workers = 12;
constexpr int LargeJobTasks = 800;
/** The platform's `finish_s`. */
constexpr std::int64_t FinishMs = 14'000;
constexpr std::int64_t IdleMs = 3'000;
const char *const LargeJob = "00000000000000f1";

std::string makeLargeJob(int steps)
{
    const std::string count = std::to_string(LargeJobTasks / steps);
    std::string body = R"({"spec":"ms=1000","steps":[)";
    for (int step = 0; step < steps; ++step)
        body += (step > 0 ? "," : "") + (R"({"count":)" + count)
                + R"(,"cpu":1000,"mem_mb":64,"est_ms":1000})";
    return body + "]}";
}

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
        options.rack = "r" + std::to_string(number / 6);
        workers.push_back(std::make_unique<Worker>(options, cell.controls(), runs, record));
        if (!workers.back()->start())
            return CouldNotRun;
    }
    const std::vector<RouteOptions> routes{{"r-checks", "/checks/", 0, 3, 250},
                                           {"r-forecasts", "/forecasts/", 2, 3, 1200}};
    const std::vector<TenantOptions> tenants{{"tenant-a", {"key-a-1"}, 0},
                                             {"tenant-b", {"key-b-1"}, 0}};
    if (!cell.putConfiguration(makeConfiguration(3, routes, tenants), 15'000)
        || !cell.waitUntilReady(10'000))
        return CouldNotRun;
    sleepMs(5000);

    const std::vector<std::string> fronts = cell.fronts();
    const std::string small
            = R"({"spec":"ms=500","steps":[{"count":2,"cpu":2500,"mem_mb":64,"est_ms":500}]})";
    std::vector<std::string> accepted;
    const auto submit = [&](int number) {
        const std::string job = "00000000000000b" + std::to_string(number);
        for (std::size_t attempt = 0; attempt < 5; ++attempt) {
            const std::string &front = fronts[attempt % fronts.size()];
            if (clientCall(record, front, "POST", "/checks/" + job, "key-b-1", small).status
                == 200) {
                accepted.push_back(job);
                return;
            }
            sleepMs(200);
        }
    };
    submit(0);
    if (accepted.empty() || !waitFor(5000, [&] { return runs.ofJob(accepted[0]).size() == 2; }))
        return CouldNotRun;
    sleepMs(1500);

    // The same work, as one step if there is to be no disruption.
    const std::string large = makeLargeJob(hasTrouble() ? LargeJobTasks : 1);
    record.line("tenant-a hands in a large job of " + std::to_string(LargeJobTasks) + " tasks in "
                + std::to_string(hasTrouble() ? LargeJobTasks : 1) + " steps, "
                + std::to_string(large.size()) + " bytes");
    const Reply reply = call(
            fronts[0], "POST", std::string("/forecasts/") + LargeJob,
            {{"Host", QueueHost}, {"Authorization", "Token key-a-1"}, {"Deadline-Ms", "3000"}},
            large, 3000);
    record.line("client: POST /forecasts/" + std::string(LargeJob) + " -> "
                + (reply.status == 0 ? std::string("no answer") : std::to_string(reply.status)));
    for (int number = 1; number <= 5; ++number) {
        submit(number);
        sleepMs(300);
    }
    record.line("the traffic ends here; accepted jobs of tenant-b: "
                + std::to_string(accepted.size()));
    sleepMs(FinishMs);
    std::set<std::string> idle(accepted.begin(), accepted.end());
    std::size_t most = 0;
    for (const std::int64_t end = nowMs() + IdleMs; nowMs() < end; sleepMs(20)) {
        std::size_t running = 0;
        for (const auto &worker : workers)
            running += worker->runningCount();
        most = std::max(most, running);
        std::erase_if(idle, [&](const std::string &job) { return !runs.ofJob(job).empty(); });
    }
    std::size_t unanswered = 0;
    for (const std::string &job : accepted) {
        std::string state;
        for (std::size_t attempt = 0; attempt < 2 && state.empty(); ++attempt)
            state = stateIn(
                    clientCall(record, fronts[attempt], "GET", "/checks/" + job, "key-b-1"));
        unanswered += state.empty() ? 1 : 0;
    }
    if (!cell.areAllRunning())
        return CouldNotRun;
    record.line("from " + std::to_string(FinishMs) + " to " + std::to_string(FinishMs + IdleMs)
                + " ms after the end of the traffic: accepted jobs of tenant-b without any run: "
                + std::to_string(idle.size()) + " of " + std::to_string(accepted.size())
                + "; then without an answer about their state: " + std::to_string(unanswered)
                + "; tasks at work on all workers: " + std::to_string(most) + " at most of "
                + std::to_string(Workers * 32) + " cores");
    return (!idle.empty() && most * 2 < Workers * 32) || unanswered > 0 ? Broken : Held;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, &play);
}
