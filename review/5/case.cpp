// A job is given up after one failed run of its gang, although the queue allows two.
#include "standin.h"

using namespace review;

namespace {

constexpr int Workers = 12;
constexpr int MaxAttempts = 2;
const char *const Job = "00000000000000d1";

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
    if (!cell.putConfiguration(makeConfiguration(3, {{"r-runs", "/runs/", 2, MaxAttempts, 1200}},
                                                 {{"tenant-a", {"key-a-1"}, 0}}),
                               15'000)
        || !cell.waitUntilReady(10'000))
        return CouldNotRun;
    sleepMs(5000);

    const std::string front = cell.fronts()[0];
    const std::string path = std::string("/runs/") + Job;
    const std::string body = R"({"spec":"ms=3000","steps":[{"count":2,"cpu":8000,"mem_mb":64,"est_ms":3000,"gang":true,"same_rack":true}]})";
    if (clientCall(record, front, "POST", path, "key-a-1", body).status != 200
        || !waitFor(5000, [&] { return runs.ofJob(Job).size() == 2; }))
        return CouldNotRun;
    sleepMs(500);
    const std::vector<Start> first = runs.ofJob(Job);
    if (hasTrouble()) {
        if (first[0].worker != first[1].worker) {
            record.line("the members are on two workers");
            return CouldNotRun;
        }
        for (const auto &worker : workers) {
            if (worker->options().id != first[0].worker)
                continue;
            record.line("disruption: " + first[0].worker + " fails all that it has started");
            worker->failAllUntil(nowMs() + 200);
        }
    }
    std::string state;
    waitFor(15'000, [&] {
        state = stateIn(clientCall(record, front, "GET", path, "key-a-1"));
        sleepMs(400);
        return state == "completed" || state == "failed";
    });
    if (!cell.areAllRunning() || state.empty())
        return CouldNotRun;
    std::map<std::string, std::size_t> failedRuns;
    std::set<std::uint64_t> numbers;
    for (const Start &start : runs.ofJob(Job)) {
        numbers.insert(start.run);
        failedRuns[start.task] += start.how == "failed" ? 1 : 0;
    }
    std::size_t most = 0;
    for (const auto &[task, count] : failedRuns)
        most = std::max(most, count);
    record.line("job shown as \"" + state + "\" with max_attempts " + std::to_string(MaxAttempts)
                + "; runs of the gang: " + std::to_string(numbers.size())
                + "; failed runs of any of its tasks: " + std::to_string(most) + " at most");
    return state == "failed" && most < MaxAttempts ? Broken : Held;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, &play);
}
