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
class WaitingRun final : public SchedulerContext
{
public:
    /** \a load is what arrives, as a part of all processors; first-come ignores all precedence. */
    WaitingRun(Policies policies, double load, bool isFirstCome, std::uint32_t seed);

    /** Lets this much time pass. */
    void run(Milliseconds span);
    /** By kind, how long each request has waited, those that still wait among them. */
    [[nodiscard]] std::map<std::string, std::vector<double>> waits() const;

    [[nodiscard]] const WorkSpec &specOf(const QueueItem &item) const override;
    [[nodiscard]] std::int64_t weightOf(const TeamId &) const override { return 1; }
    [[nodiscard]] MilliCores headroomOf(const TeamId &) const override;
    [[nodiscard]] std::set<RackId> racksOf(const QueueItem &) const override { return {}; }

private:
    struct Kind
    {
        std::string name;
        double part = 0.0;
        Milliseconds length;
        WorkSpec spec;
        Precedence precedence = Precedence::Job;
    };

    struct Request
    {
        std::size_t kind = 0;
        Instant arrival;
    };

    struct End
    {
        Instant at;
        TeamId team;
        WorkerId worker;
        Resources resources;
        TaskLifetime stay = TaskLifetime::Finite;

        bool operator>(const End &other) const { return at > other.at; }
    };

    [[nodiscard]] Milliseconds timeToNextArrival();
    void arrive();
    void decide();

    std::vector<Kind> m_kinds;
    std::minstd_rand m_random;
    Scheduler m_scheduler;
    bool m_isFirstCome;
    double m_arrivalsPerMillisecond = 0.0;
    Instant m_now;
    std::uint64_t m_lastRequest = 0;
    std::map<RequestId, Request> m_waiting;
    WaitingGangs m_gangs;
    std::priority_queue<End, std::vector<End>, std::greater<>> m_ends;
    std::map<std::string, std::vector<double>> m_waits;
};

} // namespace gentiancross::benchmarks
