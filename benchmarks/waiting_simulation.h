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
 * A scheduler in virtual time: work of all kinds arrives at random at a given part of what fits,
 * runs for a time of its kind, and waits in between. Only decisions are made; nothing is started.
 */
class WaitingSimulation final : public SchedulerContext
{
public:
    /** \a load is what arrives, as a part of all processors; first-come ignores all precedence. */
    WaitingSimulation(Policies policies, double load, bool isFirstCome, std::uint32_t seed);

    /** Lets this much time pass. */
    void run(Milliseconds span);
    /** By kind, how long each request has waited, those that still wait among them. */
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
