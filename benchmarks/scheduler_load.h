#pragma once

#include "control/scheduler.h"

#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace gentiancross::benchmarks {

/** Number of workers and teams of a load. */
struct LoadSize
{
    int workers = 50;
    int teams = 6;
};

/**
 * Owns a scheduler and keeps it loaded: tasks of several shapes end in random order and others take
 * their place. It has no processes and no clock, so only decisions are measured. Called by the
 * decision benchmarks.
 */
class SchedulerLoad final : public SchedulerContext
{
public:
    SchedulerLoad(Policies policies, const LoadSize &size, std::uint32_t seed);

    /** Queues a task of a random team and shape. */
    void queueRandom();
    /** Queues a task of this team; \a shape is an index below ShapeCount. */
    void queue(std::size_t team, std::size_t shape);
    /** Ends a random running task; returns false if none is running. */
    bool endRandom();
    /** Makes at most \a maxDecisions decisions; returns how many were made. */
    std::size_t decide(std::size_t maxDecisions);
    /** Fills the workers until nothing more fits or this \a fraction of all cores is used. */
    void fill(double fraction);

    [[nodiscard]] std::size_t running() const { return m_running.size(); }
    [[nodiscard]] std::size_t queued() const { return m_scheduler.queues().size(); }
    [[nodiscard]] std::size_t queuedOf(std::size_t team) const
    {
        return m_scheduler.queues().sizeOf(m_teams[team]);
    }
    [[nodiscard]] MilliCores usedCores() const { return m_used; }
    [[nodiscard]] MilliCores totalCores() const { return m_total; }
    [[nodiscard]] Resources runningOf(std::size_t team) const;
    [[nodiscard]] TeamId teamId(std::size_t index) const { return m_teams[index]; }
    std::minstd_rand &random() { return m_random; }

    static constexpr std::size_t ShapeCount = 6;

    [[nodiscard]] const WorkSpec &specOf(const QueueItem &item) const override;
    [[nodiscard]] std::int64_t weightOf(const TeamId &team) const override;
    [[nodiscard]] MilliCores headroomOf(const TeamId &team) const override;
    [[nodiscard]] std::set<RackId> racksOf(const QueueItem &item) const override;

private:
    struct Running
    {
        TeamId team;
        WorkerId worker;
        std::size_t shape;
    };

    std::minstd_rand m_random;
    Scheduler m_scheduler;
    std::vector<TeamId> m_teams;
    std::vector<WorkSpec> m_shapes;
    std::vector<RequestId> m_names;
    std::vector<Running> m_running;
    MilliCores m_used;
    MilliCores m_total;
};

} // namespace gentiancross::benchmarks
