#pragma once

#include "control/scheduler.h"
#include "control/waiting_gangs.h"

#include <cstdint>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace gentiancross::benchmarks {

/**
 * Simulates a scheduler in virtual time: work of all kinds arrives at random at a given fraction of
 * the capacity, waits, and runs for a time that depends on its kind. Only decisions are made;
 * nothing is started. Called by measureWaiting().
 */
class WaitingSimulation final : public SchedulerContext
{
public:
    /**
     * \a load is the offered load as a fraction of all cores. \a isFirstCome ignores all precedence
     * and reserves no workers for gangs.
     */
    WaitingSimulation(Policies policies, double load, bool isFirstCome, std::uint32_t seed);

    /** Advances the virtual time by \a span. */
    void run(Milliseconds span);
    /** By kind, the milliseconds that each request has waited, including those still waiting. */
    [[nodiscard]] std::map<std::string, std::vector<double>> waits() const;

    [[nodiscard]] const WorkSpec &specOf(const QueueItem &item) const override;
    [[nodiscard]] std::int64_t weightOf(const TeamId &) const override { return 1; }
    [[nodiscard]] MilliCores headroomOf(const TeamId &) const override;
    [[nodiscard]] std::set<RackId> racksOf(const QueueItem &) const override { return {}; }

private:
    struct WorkloadKind
    {
        std::string name;
        double arrivalFraction = 0.0;
        Milliseconds runTime;
        WorkSpec spec;
        Precedence precedence = Precedence::Job;
    };

    struct Request
    {
        std::size_t kind = 0;
        Instant arrival;
    };

    struct RunEnd
    {
        Instant at;
        TeamId team;
        WorkerId worker;
        Resources resources;
        TaskLifetime lifetime = TaskLifetime::Finite;

        bool operator>(const RunEnd &other) const { return at > other.at; }
    };

    [[nodiscard]] Milliseconds drawArrivalGap();
    void arrive();
    void decide();

    std::vector<WorkloadKind> m_kinds;
    std::minstd_rand m_random;
    Scheduler m_scheduler;
    bool m_isFirstCome;
    double m_arrivalsPerMillisecond = 0.0;
    Instant m_now;
    std::uint64_t m_lastRequest = 0;
    std::map<RequestId, Request> m_waiting;
    WaitingGangs m_gangs;
    std::priority_queue<RunEnd, std::vector<RunEnd>, std::greater<>> m_runEnds;
    std::map<std::string, std::vector<double>> m_waits;
};

} // namespace gentiancross::benchmarks
