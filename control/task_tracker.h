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

/** Whether a task that is certainly not running any more has run. */
enum class HasRun { No, Yes, Unknown };

/** How far a task has been asked to make room. */
enum class ReclaimStep { None, Checkpoint, Throttle };

/** The end of one attempt of a task. */
struct TaskEnd
{
    HasRun ran = HasRun::No;
    bool succeeded = false;
    /** The worker's whole answer, if the task's call brought one. */
    Body body;
    std::string reason;
    /** True if the task was stopped because this authority wanted it so. */
    bool stopped = false;
};

/** Is told what becomes of tasks. */
class TaskObserver
{
public:
    TaskObserver() = default;
    TaskObserver(const TaskObserver &) = delete;
    TaskObserver &operator=(const TaskObserver &) = delete;
    virtual ~TaskObserver() = default;

    /** The task is certainly not running any more; what it held is free. */
    virtual void taskEnded(Instant now, const TaskRef &task, const TaskEnd &end, Outbox &out) = 0;
    /** The task's call broke: it may be running, and its answer is lost. */
    virtual void taskAnswerLost(Instant now, const TaskRef &task, Outbox &out) = 0;
};

/** An attempt that is about to be made; the scheduler has reserved its resources. */
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
    /** The shape of the task, as the scheduler numbers them; 0 if it is not known. */
    std::uint32_t shape = 0;
    TaskLifetime stay = TaskLifetime::Finite;
};

/**
 * The tasks that run or may run on workers, from the record of their start to the certainty of
 * their end. A task counts as ended only if its worker says so or its lease has run out there.
 * Thread safety: owned by the control thread.
 */
class TaskTracker
{
public:
    TaskTracker(Epoch epoch, Scheduler &scheduler, RecordWriter &records, TaskObserver &observer,
                std::uint64_t &lastCall);

    /** Takes up a task that an earlier authority may have started. */
    void adopt(Instant now, const TaskStart &start);

    /** Records the start; the order goes out once the record is promised. */
    void start(const TaskStart &start, Outbox &out);
    /** Sends the orders whose records are promised. \a leaseEnd bounds this authority's right to.
     */
    void sendPromised(Instant now, RecordSequence promised, Instant leaseEnd, Outbox &out);
    /** Has the task stopped at its worker's next announcement. */
    void stop(const TaskRef &task);
    /** As stop, for all of the request's tasks. */
    void stopAll(const RequestId &request);
    /** Ends the task as not run if its order has not left yet; does nothing otherwise. */
    void endUnsent(Instant now, const TaskRef &task, Outbox &out);

    /** Asks the task to make room, or no longer to; told at its worker's next announcement. */
    void reclaim(const TaskRef &task, ReclaimStep step);
    /** Visits the team's tasks that certainly run: task, worker, and when it was ordered. */
    void visitRunning(
            const TeamId &team,
            const std::function<void(const TaskRef &, const WorkerId &, Instant)> &visit) const;

    /** Returns false if the call is none of this keeper's. */
    bool callEnded(Instant now, const CallEnded &event, Outbox &out);
    AnnouncementReply announced(Instant now, const Announcement &announcement, Outbox &out);
    void tick(Instant now, Outbox &out);

    [[nodiscard]] bool isHeld(const TaskRef &task) const { return m_runs.contains(task); }
    /** True if any of the request's tasks is held. */
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
        /** The order is under way, or a short request's answer is awaited. */
        Ordered,
        /** The order may or may not have arrived. */
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
        /** On this host's clock; for adopted tasks, whose lease on the worker's clock is not known.
         */
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
    void order(Instant now, Run &run, Instant leaseEnd, Outbox &out);
    void end(Instant now, const TaskRef &name, const TaskEnd &end, Outbox &out);
    void updateWorkerHealth(Instant now, const Run &run, const TaskEnd &end, Outbox &out);
    void reconcile(Instant now, const Announcement &announcement, AnnouncementReply &reply,
                   Outbox &out);
    void noteUsage(Instant now, Run &run, const RunningTask &running);
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
    std::deque<UnsentStart> m_waiting;
    std::uint64_t m_startsSent = 0;
    Instant m_nextRefresh;
};

} // namespace gentiancross
