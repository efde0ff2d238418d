// Case: a job whose tasks fill loses its worker, and runs nowhere else.

#include "worker.h"

using namespace review;

namespace {

constexpr int Workers = 7;
constexpr Ms FinishMs = 14'000;

} // namespace

int main(int, char **arguments)
{
    ::signal(SIGPIPE, SIG_IGN);
    Record record(arguments[1]);
    Runs runs;
    Cell cell(record, 3, 2, false);
    if (!cell.start() || !putConfiguration(cell, record, smallConfiguration(7)))
        return CouldNotRun;
    std::vector<Address> control;
    for (Host *keeper : cell.keepers())
        control.push_back(keeper->control);
    std::vector<std::unique_ptr<Worker>> workers;
    for (int number = 0; number < Workers; ++number) {
        WorkerOptions options;
        options.id = "i-" + std::to_string(number);
        options.address = {cell.address(3, 1 + number), 8080};
        options.zone = "z" + std::to_string(1 + number % 3);
        options.rack = "r" + std::to_string(number % 3);
        workers.push_back(std::make_unique<Worker>(record, runs, control, options));
        if (!workers.back()->start())
            return CouldNotRun;
    }
    sleepMs(4000);
    // Six tasks that last, each with 30% of a worker, on six of the seven workers.
    if (callJob(cell, record, "POST", "00000000000000a1",
                R"({"spec":"ms=600000","steps":[{"count":6,"cpu":9600,"mem_mb":8192,"est_ms":500,)"
                R"("long_running":true,"target_ms":200,"image":"serving","max_per_server":1}]})")
                .status != 200)
        return CouldNotRun;
    sleepMs(3000);
    const std::string fill = "00000000000000b2";
    if (callJob(cell, record, "POST", fill,
                R"({"spec":"ms=6000","steps":[{"count":1,"cpu":4000,"mem_mb":1024,"est_ms":6000,)"
                R"("fills":true,"image":"filling"}]})")
                .status != 200)
        return CouldNotRun;
    Ms begun = -1;
    for (const Ms end = steadyMs() + 10'000; begun < 0 && steadyMs() < end; sleepMs(20)) {
        for (const Runs::Run &run : runs.all()) {
            if (run.task == fill + ".0.0.0")
                begun = run.begin;
        }
    }
    if (begun < 0) {
        record.line("the job that fills did not start before the disruption");
        return CouldNotRun;
    }
    sleepMs(1000);
    std::string lost;
    for (const Runs::Run &run : runs.all()) {
        if (run.task == fill + ".0.0.0")
            lost = run.worker;
    }
    if (hasTrouble()) {
        record.line("srv_crash (gone): %s", lost.c_str());
        for (auto &worker : workers) {
            if (worker->id() == lost)
                worker->crash();
        }
    }
    // The lease of the lost worker has lapsed by then, whatever it was, and the task has had time.
    sleepMs(10'000 + FinishMs + 6000);
    const HttpAnswer state = callJob(cell, record, "GET", fill);
    Ms idleSince = -1;
    bool isAtWork = false;
    for (const Runs::Run &run : runs.all()) {
        if (run.task != fill + ".0.0.0")
            continue;
        record.line("%s run %llu on %s: from %lld to %lld ms, %s", run.task.c_str(),
                    static_cast<unsigned long long>(run.run), run.worker.c_str(),
                    static_cast<long long>(run.begin), static_cast<long long>(run.end),
                    run.end < 0 ? "at work" : run.how.c_str());
        isAtWork = isAtWork || run.end < 0;
        idleSince = std::max(idleSince, run.end);
    }
    const bool isCompleted = state.body.find("completed") != std::string::npos;
    const bool isBroken = !isCompleted && !isAtWork && record.now() - idleSince > FinishMs;
    record.line("%s: LOST, the job that fills has had nothing running for %lld ms",
                isBroken ? "BROKEN" : "held",
                static_cast<long long>(isCompleted || isAtWork ? 0 : record.now() - idleSince));
    return isBroken ? RuleBroken : RuleHeld;
}
