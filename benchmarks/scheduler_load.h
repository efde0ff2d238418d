#pragma once

#include "control/scheduler.h"

#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace gentiancross::benchmarks {

/** How large a load is. */
struct LoadSize
{
    int workers = 50;
    int teams = 6;
};

/**
 * A scheduler that is kept busy: tasks of several shapes end in a random order and others come in
 * their place. No processes, no clock: it measures decisions alone.
 */
class SchedulerLoad final : public SchedulerContext
{
public:
    SchedulerLoad(Policies policies, const LoadSize &size, std::uint32_t seed);

    /** Queues one task of a random team and shape. */
    void queueRandom();
    /** Queues one task of this team; the shape is an index below shapeCount. */
    void queue(std::size_t team, std::size_t shape);
    /** Ends one running task at random; false if none runs. */
    bool endRandom();
    /** Makes at most \a most decisions; returns how many. */
    std::size_t decide(std::size_t maxDecisions);
    /** Fills the workers until nothing more fits or \a part of all cores is used. */
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
