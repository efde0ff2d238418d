#pragma once

#include "control/record_writer.h"
#include "control/scheduler.h"
#include "control/worker_table.h"
#include "core/effects.h"

#include <compare>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace gentiancross {

/** One task of a request. */
struct TaskRef
{
    RequestId request;
    std::uint32_t task = 0;

    auto operator<=>(const TaskRef &) const = default;
};

/** Whether a task that is certainly no longer running has run at all. */
enum class HasRun { No, Yes, Unknown };

/** What a task has been asked to do to free capacity. */
enum class ReclaimStep { None, Checkpoint, Throttle };

/** The end of one attempt of a task. */
struct TaskEnd
{
    HasRun hasRun = HasRun::No;
    bool succeeded = false;
    /** The worker's complete answer, if the call returned one. */
    Body body;
    std::string reason;
    /** True if this authority requested the stop. */
    bool stopped = false;
};

/** Is notified of the ends of tasks. */
class TaskObserver
{
public:
    TaskObserver() = default;
    TaskObserver(const TaskObserver &) = delete;
    TaskObserver &operator=(const TaskObserver &) = delete;
    virtual ~TaskObserver() = default;

    /** The task is certainly no longer running; its resources have been released. */
    virtual void taskEnded(Instant now, const TaskRef &task, const TaskEnd &end, Outbox &out) = 0;
    /** The connection of the task's call broke: the task may be running; its answer is lost. */
    virtual void taskAnswerLost(Instant now, const TaskRef &task, Outbox &out) = 0;
};

/** An attempt to start a task, for which the scheduler has reserved the resources. */
struct TaskStart
{
    TaskRef task;
    std::uint32_t attempt = 1;
    WorkerId worker;
    TeamId team;
    Resources resources;
    bool answerWithResult = false;
    Blob payload;
    Instant deadline;
    Milliseconds decidedAtWall;
    WaitCause waitedFor = WaitCause::Nothing;
    /** The scheduler's number of the task's shape; 0 if unknown. */
    std::uint32_t shape = 0;
    TaskLifetime lifetime = TaskLifetime::Finite;
};

/**
 * Owns the tasks that run or may run on workers, from the record of their start until their end is
 * certain: their worker has reported it, or their lease has expired on the worker's clock. Called
 * by a DataCentreAuthority and RequestTracker.
 * Thread safety: owned by the control thread.
 */
class TaskTracker
{
public:
    TaskTracker(Epoch epoch, Scheduler &scheduler, RecordWriter &records, TaskObserver &observer,
                std::uint64_t &lastCall);

    /** Adopts a task that an earlier authority may have started. */
    void adopt(Instant now, const TaskStart &start);

    /** Records the start; the order is sent once the record is promised. */
    void start(const TaskStart &start, Outbox &out);
    /** Sends the orders whose records are promised, until \a leaseEnd of this authority's lease. */
    void sendPromised(Instant now, RecordSequence promised, Instant leaseEnd, Outbox &out);
    /** Requests a stop, sent in reply to the worker's next announcement. */
    void stop(const TaskRef &task);
    /** Like stop, for all tasks of the request. */
    void stopAll(const RequestId &request);
    /** Ends the task as not run if its order has not been sent yet; otherwise does nothing. */
    void endUnsent(Instant now, const TaskRef &task, Outbox &out);

    /** Asks the task to free capacity, or withdraws that; sent in reply to the worker's next
     * announcement. */
    void reclaim(const TaskRef &task, ReclaimStep step);
    /** Visits the team's tasks that certainly run: task, worker, and time of the order. */
    void visitRunning(
            const TeamId &team,
            const std::function<void(const TaskRef &, const WorkerId &, Instant)> &visit) const;

    /** Returns false if the call was not made by this tracker. */
    bool callEnded(Instant now, const CallEnded &event, Outbox &out);
    AnnouncementReply announced(Instant now, const Announcement &announcement, Outbox &out);
    void tick(Instant now, Outbox &out);

    [[nodiscard]] bool isTracked(const TaskRef &task) const { return m_runs.contains(task); }
    /** True if any task of the request runs or may run. */
    [[nodiscard]] bool tracksAnyOf(const RequestId &request) const;
    [[nodiscard]] bool isRunning(const TaskRef &task) const;
    [[nodiscard]] std::size_t runCount() const { return m_runs.size(); }
    [[nodiscard]] std::size_t openCalls() const { return m_calls.size(); }
    [[nodiscard]] std::uint64_t startsSent() const { return m_startsSent; }
    [[nodiscard]] const WorkerTable &workers() const { return m_workers; }

private:
    enum class Phase {
        /** The record of the start is not promised yet. */
        Recorded,
        /** The order is in transit, or the answer of a short request is awaited. */
        Ordered,
        /** It is not known whether the order arrived. */
        Uncertain,
        Running,
    };

    struct Run
    {
        TaskStart start;
        TaskId id;
        Phase phase = Phase::Recorded;
        CallId call;
        SessionId session;
        /** On the worker's clock. */
        Instant notAfter;
        Instant leaseUntil;
        /** On this host's clock; set for adopted tasks, whose lease on the worker's clock is
         * unknown. */
        std::optional<Instant> adoptedUntil;
        Instant orderedAt;
        bool isStopRequested = false;
        ReclaimStep reclaim = ReclaimStep::None;
    };

    struct UnsentStart
    {
        RecordSequence sequence;
        TaskRef task;
        std::uint32_t attempt = 0;
    };

    Run &insert(const TaskStart &start);
    void sendOrder(Instant now, Run &run, Instant leaseEnd, Outbox &out);
    void end(Instant now, const TaskRef &name, const TaskEnd &end, Outbox &out);
    void updateWorkerHealth(Instant now, const Run &run, const TaskEnd &end, Outbox &out);
    void reconcile(Instant now, const Announcement &announcement, AnnouncementReply &reply,
                   Outbox &out);
    void recordUsage(Instant now, Run &run, const RunningTask &running);
    void reconcileUnlisted(Instant now, const Announcement &announcement, const TaskRef &task,
                           Outbox &out);
    void endFinished(Instant now, const Announcement &announcement, AnnouncementReply &reply,
                     Outbox &out);
    void endLapsedLeases(Instant now, const WorkerId &worker, Outbox &out);
    void refreshWorker(Instant now, const WorkerId &worker);
    [[nodiscard]] std::size_t tasksOn(const WorkerId &worker) const;
    [[nodiscard]] bool isLapsed(Instant now, const Run &run) const;

    Epoch m_epoch;
    Scheduler &m_scheduler;
    RecordWriter &m_records;
    TaskObserver &m_observer;
    std::uint64_t &m_lastCall;
    WorkerTable m_workers;
    std::map<TaskRef, Run> m_runs;
    std::unordered_map<TaskId, TaskRef> m_byId;
    std::unordered_map<WorkerId, std::set<TaskRef>> m_byWorker;
    std::unordered_map<CallId, TaskRef> m_calls;
    std::unordered_map<WorkerId, std::int64_t> m_openCalls;
    std::deque<UnsentStart> m_unsentStarts;
    std::uint64_t m_startsSent = 0;
    Instant m_nextRefresh;
};

} // namespace gentiancross
