#pragma once

#include "control/placement_policy.h"
#include "control/queue_policy.h"
#include "control/shape_registry.h"
#include "control/team_queues.h"
#include "control/turn_order.h"
#include "control/usage_peak_tracker.h"
#include "core/work.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace gentiancross {

/** Where one task is to run. */
struct TaskPlacement
{
    std::uint32_t task = 0;
    WorkerId worker;
};

/** One decision: an item of a queue and the places of its tasks. */
struct Decision
{
    TeamId team;
    QueueKey key;
    QueueItem item;
    /** What is reserved for each task; not less than the task declares. */
    Resources perTask;
    std::vector<TaskPlacement> placements;
};

/** Whether work ends by itself: a service stays until it is stopped. */
enum class TaskLifetime { Finite, LongRunning };

/** How long work of the kind stays. Reentrant. */
inline TaskLifetime lifetimeOf(WorkKind kind)
{
    return kind == WorkKind::Service ? TaskLifetime::LongRunning : TaskLifetime::Finite;
}

/** What the scheduler asks its owner, which knows the requests and the limits. */
class SchedulerContext
{
public:
    SchedulerContext() = default;
    SchedulerContext(const SchedulerContext &) = delete;
    SchedulerContext &operator=(const SchedulerContext &) = delete;
    virtual ~SchedulerContext() = default;

    /** Precondition: the item is queued. */
    [[nodiscard]] virtual const WorkSpec &specOf(const QueueItem &item) const = 0;
    [[nodiscard]] virtual std::int64_t weightOf(const TeamId &team) const = 0;
    /** What the team may still start here under its upper limit. */
    [[nodiscard]] virtual MilliCores headroomOf(const TeamId &team) const = 0;
    /** The racks that hold tasks of the item's request. */
    [[nodiscard]] virtual std::set<RackId> racksOf(const QueueItem &item) const = 0;
};

/** The policies by kind of work. */
struct Policies
{
    std::unique_ptr<QueuePolicy> queue;
    std::unique_ptr<PlacementPolicy> packing;
    std::unique_ptr<PlacementPolicy> spreading;

    /** Dominant shares; services spread, all else packs. */
    static Policies standard();
    /** First come, first fit, by scan. */
    static Policies naive();
};

/**
 * Decides what starts next and where. Holds what runs, by worker and by team.
 * Thread safety: owned by the control thread.
 */
class Scheduler
{
public:
    explicit Scheduler(Policies policies);

    TeamQueues &queues() { return m_queues; }
    [[nodiscard]] const TeamQueues &queues() const { return m_queues; }
    [[nodiscard]] const WorkerIndex &workers() const { return m_workers; }

    /** Queues an item, numbering its shape, so that one that does not fit is told without a look.
     */
    QueueKey enqueue(const TeamId &team, QueueItem item, const WorkSpec &spec,
                     Precedence precedence);

    /** To be called when teams' weights or limits may have changed. */
    void markTeamsChanged() { m_areAllTurnsStale = true; }

    /** Adds or changes a worker; what is reserved on it stays reserved. */
    void putWorker(const WorkerId &worker, const RackId &rack, const Labels &labels,
                   const Resources &capacity, bool usable);

    /** Counts resources as used, whether or not they fit. The worker need not be known yet. */
    void reserve(const TeamId &team, const WorkerId &worker, const Resources &resources,
                 TaskLifetime stay = TaskLifetime::Finite);
    /** Notes what a running task of the shape was seen to use. */
    void noteUsage(Instant now, const TeamId &team, std::uint32_t shape, MilliCores cores,
                   Mebibytes memory)
    {
        m_usage.note(now, team, shape, cores, memory);
    }
    /** Undoes one reserve, with the same arguments. */
    void release(const TeamId &team, const WorkerId &worker, const Resources &resources,
                 TaskLifetime stay = TaskLifetime::Finite);

    [[nodiscard]] Resources reservedOn(const WorkerId &worker) const;
    /** What all usable workers have together. */
    [[nodiscard]] const Resources &usableTotal() const { return m_total; }
    [[nodiscard]] Resources runningOf(const TeamId &team) const;
    [[nodiscard]] const std::map<TeamId, Resources> &running() const { return m_running; }

    /** The team's place in the order of queueing, as if it had just arrived. */
    [[nodiscard]] double rankOfTeam(const SchedulerContext &context, const TeamId &team) const;
    /** The largest part of any resource of all usable workers that \a resources are. */
    [[nodiscard]] double shareOf(const Resources &resources) const;
    /** True if \a needed would fit on the worker once \a freed is released there. */
    [[nodiscard]] bool wouldFitWithout(const WorkerId &worker, const Resources &freed,
                                       const WorkSpec &needed) const;

    /**
     * Keeps the room of as many workers as the gang needs, of none without a gang: short requests
     * may still use it, other jobs not, so that it drains until the gang fits.
     */
    void holdWorkersFor(const SchedulerContext &context, const std::optional<RequestId> &gang);
    [[nodiscard]] const std::optional<RequestId> &heldFor() const { return m_heldFor; }

    /** True if some known worker, used or not, could ever run the task. */
    [[nodiscard]] bool couldEverFit(const WorkSpec &spec) const
    {
        return couldEverFit(spec, spec.perTask);
    }

    /**
     * Makes at most \a most decisions, fairest first. Decided items leave the queue, and what they
     * need is reserved.
     */
    std::vector<Decision> decide(const SchedulerContext &context, std::size_t most);

private:
    void holdWorkers(const WorkSpec &spec);
    void releaseHeldWorkers();

    struct WorkerCapacity
    {
        RackId rack;
        Labels labels;
        Resources capacity;
        Resources reserved;
        /** The part of what is reserved that does not end by itself. */
        Resources lasting;
        bool usable = false;
        bool known = false;
    };

    /** Tasks of this shape that would fit on the worker with this much room, up to the job's own.
     */
    [[nodiscard]] static std::uint32_t countFittingTasks(Resources room,
                                                         const IndexedWorker &worker,
                                                         const WorkSpec &spec,
                                                         const Resources &perTask);
    /** As the public one, for tasks that are given this much. */
    [[nodiscard]] bool couldEverFit(const WorkSpec &spec, const Resources &perTask) const;
    /** True if the worker's room may have grown. */
    bool refreshIndex(const WorkerId &worker, const WorkerCapacity &room);
    /** Works out the turns that may have changed. */
    void refreshTurns(const SchedulerContext &context);
    void refreshTurn(const SchedulerContext &context, const TeamId &team);
    /** As reserve and release, for a gang whose tasks are tried one after the other: nobody else's
     * turn comes of it. */
    void take(const TeamId &team, const WorkerId &worker, const Resources &resources,
              TaskLifetime stay);
    bool subtractReservation(const TeamId &team, const WorkerId &worker, const Resources &resources,
                             TaskLifetime stay);
    /** To be called when the worker's room may have grown. */
    void onCapacityIncreased(const WorkerId &worker);
    [[nodiscard]] bool tryTeam(const SchedulerContext &context, const TeamId &team,
                               Decision &decision);
    [[nodiscard]] bool tryItem(const SchedulerContext &context, const TeamId &team,
                               Decision &decision);
    [[nodiscard]] const PlacementPolicy &placementFor(WorkKind kind) const;
    /** What a task of the item is to have: as seen, unless no worker could ever give so much. */
    [[nodiscard]] Resources needOf(const TeamId &team, const QueueItem &item,
                                   const WorkSpec &spec) const;
    [[nodiscard]] bool isKnownUnfit(const QueueItem &item) const;

    Policies m_policies;
    TeamQueues m_queues;
    WorkerIndex m_workers;
    std::unordered_map<WorkerId, WorkerCapacity> m_workerCapacities;
    std::map<TeamId, Resources> m_running;
    UsagePeakTracker m_usage;
    Resources m_total;
    std::optional<RequestId> m_heldFor;
    std::vector<WorkerOrdinal> m_held;
    ShapeRegistry m_shapes;
    TurnOrder m_order;
    bool m_areAllTurnsStale = false;
};

} // namespace gentiancross
