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

/** The worker chosen for one task. */
struct TaskPlacement
{
    std::uint32_t task = 0;
    WorkerId worker;
};

/** One scheduling decision: a queue item and the workers chosen for its tasks. */
struct Decision
{
    TeamId team;
    QueueKey key;
    QueueItem item;
    /** The resources reserved for each task; never less than the task declares. */
    Resources perTask;
    std::vector<TaskPlacement> placements;
};

/** Whether a task ends by itself; a service is long-running, as it runs until it is stopped. */
enum class TaskLifetime { Finite, LongRunning };

/** The lifetime of tasks of this kind of work. Reentrant. */
inline TaskLifetime lifetimeOf(WorkKind kind)
{
    return kind == WorkKind::Service ? TaskLifetime::LongRunning : TaskLifetime::Finite;
}

/** Queries that the scheduler makes of its owner, which knows the requests and the limits. */
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
    /** The cores that the team may still start in this data centre under its upper limit. */
    [[nodiscard]] virtual MilliCores headroomOf(const TeamId &team) const = 0;
    /** The racks in which tasks of the item's request already run. */
    [[nodiscard]] virtual std::set<RackId> racksOf(const QueueItem &item) const = 0;
};

/** The queue policy, and the placement policies by kind of work. */
struct Policies
{
    std::unique_ptr<QueuePolicy> queue;
    std::unique_ptr<PlacementPolicy> packing;
    std::unique_ptr<PlacementPolicy> spreading;

    /** Dominant-resource fairness; services are spread, all other work is packed. */
    static Policies standard();
    /** First come, first served, placed by a first-fit scan of all workers; a baseline. */
    static Policies naive();
};

/**
 * Decides which queued item starts next and on which workers. Owns the team queues, the worker
 * index and the reservations by worker and by team. Called by DataCentreAuthority.
 * Thread safety: owned by the control thread.
 */
class Scheduler
{
public:
    explicit Scheduler(Policies policies);

    TeamQueues &queues() { return m_queues; }
    [[nodiscard]] const TeamQueues &queues() const { return m_queues; }
    [[nodiscard]] const WorkerIndex &workers() const { return m_workers; }

    /** Queues an item and registers its shape, so that an item known not to fit is skipped without
     * a search for a worker. */
    QueueKey enqueue(const TeamId &team, QueueItem item, const WorkSpec &spec,
                     Precedence precedence);

    /** Must be called when weights or limits of teams may have changed. */
    void markTeamsChanged() { m_areAllTurnsStale = true; }

    /** Adds or updates a worker; existing reservations on it are kept. */
    void putWorker(const WorkerId &worker, const RackId &rack, const Labels &labels,
                   const Resources &capacity, bool usable);

    /** Reserves resources on the worker, whether or not they fit. The worker need not be known yet.
     */
    void reserve(const TeamId &team, const WorkerId &worker, const Resources &resources,
                 TaskLifetime lifetime = TaskLifetime::Finite);
    /** Records the measured usage of a running task of the shape. */
    void recordUsage(Instant now, const TeamId &team, std::uint32_t shape, MilliCores cores,
                     Mebibytes memory)
    {
        m_usage.record(now, team, shape, cores, memory);
    }
    /** Reverses one call of reserve() with the same arguments. */
    void release(const TeamId &team, const WorkerId &worker, const Resources &resources,
                 TaskLifetime lifetime = TaskLifetime::Finite);

    [[nodiscard]] Resources reservedOn(const WorkerId &worker) const;
    /** The total capacity of all usable workers. */
    [[nodiscard]] const Resources &usableTotal() const { return m_total; }
    [[nodiscard]] Resources runningOf(const TeamId &team) const;
    [[nodiscard]] const std::map<TeamId, Resources> &running() const { return m_running; }

    /** The team's rank under the queue policy, as if its next item had just arrived. */
    [[nodiscard]] double rankOfTeam(const SchedulerContext &context, const TeamId &team) const;
    /** The dominant share: the largest fraction of any resource of all usable workers that
     * \a resources take. */
    [[nodiscard]] double shareOf(const Resources &resources) const;
    /** True if \a needed would fit on the worker once \a freed is released there. */
    [[nodiscard]] bool wouldFitWithout(const WorkerId &worker, const Resources &freed,
                                       const WorkSpec &needed) const;

    /**
     * Holds the free capacity of as many workers as the gang needs; without a gang, of none. Short
     * requests may still use it but other jobs may not, so the workers drain until the gang fits.
     */
    void holdWorkersFor(const SchedulerContext &context, const std::optional<RequestId> &gang);
    [[nodiscard]] const std::optional<RequestId> &heldFor() const { return m_heldFor; }

    /** True if the known workers, usable or not, could run the task, or the whole gang, when empty.
     */
    [[nodiscard]] bool couldEverFit(const WorkSpec &spec) const
    {
        return couldEverFit(spec, spec.perTask);
    }

    /**
     * Makes at most \a maxDecisions decisions in the order of the queue policy. Decided items leave
     * the queue, and their resources are reserved.
     */
    std::vector<Decision> decide(const SchedulerContext &context, std::size_t maxDecisions);

private:
    void holdWorkers(const WorkSpec &spec);
    void releaseHeldWorkers();

    struct WorkerCapacity
    {
        RackId rack;
        Labels labels;
        Resources capacity;
        Resources reserved;
        /** The part of the reservations that belongs to long-running tasks. */
        Resources longRunning;
        bool usable = false;
        bool known = false;
    };

    /** How many tasks of this shape would fit on the worker with this free capacity, at most as
     * many as the request has. */
    [[nodiscard]] static std::uint32_t countFittingTasks(Resources free,
                                                         const IndexedWorker &worker,
                                                         const WorkSpec &spec,
                                                         const Resources &perTask);
    /** Like the public overload, for tasks that reserve \a perTask. */
    [[nodiscard]] bool couldEverFit(const WorkSpec &spec, const Resources &perTask) const;
    /** Updates the worker's index entry; true if its free capacity may have increased. */
    bool refreshIndex(const WorkerId &worker, const WorkerCapacity &state);
    /** Recomputes the turns that may have changed. */
    void refreshTurns(const SchedulerContext &context);
    void refreshTurn(const SchedulerContext &context, const TeamId &team);
    /** Like reserve() and release(), but without marking turns as changed: the tasks of a gang are
     * tried one after the other, and undoing them makes nothing else startable. */
    void addReservation(const TeamId &team, const WorkerId &worker, const Resources &resources,
                        TaskLifetime lifetime);
    bool subtractReservation(const TeamId &team, const WorkerId &worker, const Resources &resources,
                             TaskLifetime lifetime);
    /** Must be called when the worker's free capacity may have increased. */
    void onCapacityIncreased(const WorkerId &worker);
    [[nodiscard]] bool tryTeam(const SchedulerContext &context, const TeamId &team,
                               Decision &decision);
    [[nodiscard]] bool tryItem(const SchedulerContext &context, const TeamId &team,
                               Decision &decision);
    [[nodiscard]] const PlacementPolicy &placementFor(WorkKind kind) const;
    /** The resources to reserve per task of the item: the measured peak if that is above what is
     * declared, unless the workers could never fit so much. */
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
    std::vector<WorkerOrdinal> m_heldWorkers;
    ShapeRegistry m_shapes;
    TurnOrder m_order;
    bool m_areAllTurnsStale = false;
};

} // namespace gentiancross
