#include "benchmarks/decision_bench.h"
#include "benchmarks/reducer_load.h"

#include <map>
#include <set>
#include <string>

namespace gentiancross::benchmarks {

namespace {

constexpr std::uint32_t Seed = 1;
constexpr int SlotsPerWorker = 16;
constexpr int TicksPerAnnouncement = 10;
constexpr Milliseconds MaxVirtualTime{600'000};
/** A team has its share again once it reaches this fraction of it. */
constexpr double ReturnedFraction = 0.99;

/** Simulates workers that start all tasks they are ordered to and stop all they are told to. */
class SimulatedWorkers
{
public:
    SimulatedWorkers(ReducerLoad &load, int workers)
        : m_load(load)
        , m_running(static_cast<std::size_t>(workers))
    {}

    void startOrderedTasks()
    {
        for (const StartTask &start : m_load.starts()) {
            m_running[numberOf(start.worker)].insert(start.order.task);
            m_runningCounts[start.order.team] += 1;
            m_teamOfTask[start.order.task] = start.order.team;
        }
        m_load.answerStarts();
    }

    void announceAll()
    {
        for (std::size_t worker = 0; worker < m_running.size(); ++worker)
            announce(static_cast<int>(worker), m_running[worker]);
    }

    int running(const TeamId &team) { return m_runningCounts[team]; }

private:
    static std::size_t numberOf(const WorkerId &worker)
    {
        return std::stoul(worker.value().substr(1));
    }

    void announce(int worker, std::set<TaskId> &running)
    {
        const std::vector<TaskId> stop
                = m_load.announce(worker, {running.begin(), running.end()}).stop;
        if (stop.empty())
            return;
        for (const TaskId &task : stop) {
            if (running.erase(task) > 0)
                m_runningCounts[m_teamOfTask[task]] -= 1;
        }
        m_load.announce(worker, {running.begin(), running.end()}, stop);
    }

    ReducerLoad &m_load;
    std::vector<std::set<TaskId>> m_running;
    std::map<TaskId, TeamId> m_teamOfTask;
    std::map<TeamId, int> m_runningCounts;
};

/** One team has filled all workers with batch work; another team returns. */
void measureReturn(Report &report, int workers)
{
    ReducerLoad load;
    load.createTeams(2);
    SimulatedWorkers simulatedWorkers(load, workers);
    simulatedWorkers.announceAll();
    simulatedWorkers.announceAll();
    const int slots = workers * SlotsPerWorker;
    for (int index = 0; index < slots; ++index)
        load.submit(WorkKind::Batch, 1, 0);
    simulatedWorkers.startOrderedTasks();
    for (int index = 0; index < slots; ++index)
        load.submit(WorkKind::Batch, 1, 1);
    const Instant returnedAt = load.now();
    const double share = slots / 2.0;
    int ticks = 0;
    while (simulatedWorkers.running(TeamId("t1")) < share * ReturnedFraction
           && load.now() - returnedAt < MaxVirtualTime) {
        load.tick();
        simulatedWorkers.startOrderedTasks();
        if (++ticks % TicksPerAnnouncement == 0)
            simulatedWorkers.announceAll();
    }
    report.add({"a team's return to half of all, " + std::to_string(workers) + " workers",
                static_cast<double>((load.now() - returnedAt).value()), "ms of virtual time", Seed,
                static_cast<std::uint64_t>(slots)});
}

} // namespace

void measureShareReturn(Report &report)
{
    for (const int workers : {50, 300, 1170})
        measureReturn(report, workers);
}

} // namespace gentiancross::benchmarks
