#include "benchmarks/decision_bench.h"
#include "benchmarks/reducer_load.h"

#include <map>

namespace gentiancross::benchmarks {

namespace {

constexpr std::uint32_t Seed = 1;
constexpr double MicrosecondsPerSecond = 1e6;

void measureSize(Report &report, int workers, int teams)
{
    const std::string label
            = std::to_string(workers) + " workers, " + std::to_string(teams) + " teams";
    const double memoryBefore = heapBytes();
    ReducerLoad load;
    load.createTeams(teams);
    for (int round = 0; round < 2; ++round) {
        for (int worker = 0; worker < workers; ++worker)
            load.announce(worker, {});
    }
    const double memoryOfWorkers = heapBytes();
    report.add({"memory a worker, " + label, (memoryOfWorkers - memoryBefore) / workers, "bytes",
                Seed, static_cast<std::uint64_t>(workers)});
    // 12 tasks per worker, as in the target deployment.
    const int jobs = workers * 12;
    double begin = threadSeconds();
    for (int index = 0; index < jobs; ++index)
        load.submit(WorkKind::Batch, 1, index % teams);
    report.add({"processor time a job accepted and started, " + label,
                (threadSeconds() - begin) / jobs * MicrosecondsPerSecond, "us", Seed,
                static_cast<std::uint64_t>(jobs)});
    report.add({"memory a running task, " + label, (heapBytes() - memoryOfWorkers) / jobs, "bytes",
                Seed, static_cast<std::uint64_t>(jobs)});
    std::map<WorkerId, std::vector<TaskId>> running;
    for (const StartTask &start : load.starts())
        running[start.worker].push_back(start.order.task);
    load.answerStarts();
    begin = threadSeconds();
    for (int worker = 0; worker < workers; ++worker)
        load.announce(worker, running[WorkerId("w" + std::to_string(worker))]);
    report.add({"processor time an announcement of 12 tasks, " + label,
                (threadSeconds() - begin) / workers * MicrosecondsPerSecond, "us", Seed,
                static_cast<std::uint64_t>(workers)});
    begin = threadSeconds();
    constexpr int Ticks = 40;
    for (int index = 0; index < Ticks; ++index)
        load.tick();
    report.add({"processor time a tick, " + label,
                (threadSeconds() - begin) / Ticks * MicrosecondsPerSecond, "us", Seed, Ticks});
    const double bytesBefore = load.journalBytes();
    begin = threadSeconds();
    constexpr int ShortRequests = 2000;
    for (int index = 0; index < ShortRequests; ++index) {
        load.submit(WorkKind::Short, 1, index % teams);
        load.answerStarts();
    }
    report.add({"processor time a short request, whole life, " + label,
                (threadSeconds() - begin) / ShortRequests * MicrosecondsPerSecond, "us", Seed,
                ShortRequests});
    report.add({"journal bytes a short request, " + label,
                (load.journalBytes() - bytesBefore) / ShortRequests, "bytes", Seed, ShortRequests});
}

} // namespace

void measureReducer(Report &report)
{
    measureSize(report, 50, 6);
    measureSize(report, 300, 60);
    measureSize(report, 1170, 360);
}

} // namespace gentiancross::benchmarks
