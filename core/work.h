#pragma once

#include "core/blob.h"
#include "core/ids.h"
#include "core/units.h"

#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace gentiancross {

using Labels = std::map<std::string, std::string>;

/** The kinds of work, each with its own placement policy and its own way of answering. */
enum class WorkKind { Short, Batch, Service, Gang };

/** The outcome of a request, as far as it is known with certainty. */
enum class Outcome { Pending, Done, NotRun, Unknown, Failed, Cancelled };

/** Upper bound on the number of tasks of one request. */
inline constexpr std::uint32_t MaxTasksPerRequest = 10'000;

/** The work requested by a caller. */
struct WorkSpec
{
    WorkKind kind = WorkKind::Short;
    Resources perTask;
    /** Number of tasks: replicas of a service, members of a gang, 1 for a short request. */
    std::uint32_t taskCount = 1;
    /** A worker is eligible if it has each of these labels with the same value. */
    Labels selector;
    Milliseconds deadline{10'000};
    Milliseconds declaredRunTime{0};
    bool urgent = false;
    /** False for work that must run at most once. */
    bool idempotent = true;
    /** Passed to the worker unchanged. */
    Blob payload;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.kind, self.perTask, self.taskCount, self.selector, self.deadline,
                        self.declaredRunTime, self.urgent, self.idempotent, self.payload);
    }
};

/** True if two requests ask for the same work, so one may be a resend of the other. Reentrant. */
inline bool isSameWork(const WorkSpec &first, const WorkSpec &second)
{
    return first.kind == second.kind && first.perTask == second.perTask
            && first.taskCount == second.taskCount && first.selector == second.selector
            && first.idempotent == second.idempotent && first.payload == second.payload;
}

/** A task that a worker reports as running, with its measured usage (which lags behind). */
struct RunningTask
{
    TaskId task;
    TeamId team;
    Resources reserved;
    MilliCores usedCores;
    Mebibytes usedMemory;
};

/** A task that a worker reports as ended; repeated until it is acknowledged. */
struct FinishedTask
{
    TaskId task;
    bool succeeded = false;
    Milliseconds ranFor;
};

/** A worker's periodic report on itself. */
struct Announcement
{
    WorkerId worker;
    std::string address;
    DataCentreId dataCentre;
    RackId rack;
    Resources capacity;
    Slots connections;
    Labels labels;
    SessionId session;
    /** The worker's own monotonic clock at the time of the announcement. */
    Instant workerNow;
    /** The highest authority epoch that the worker has obeyed. */
    Epoch epoch;
    bool leaving = false;
    std::vector<RunningTask> running;
    std::vector<FinishedTask> finished;
};

/** The answer to an announcement. */
struct AnnouncementReply
{
    /** Where the worker is to announce itself instead, as "ip:port"; other fields are then void. */
    std::string announceTo;
    Epoch epoch;
    /** On the worker's clock: lease end of the announced running tasks, except those in `stop`. */
    Instant leaseUntil;
    std::vector<TaskId> stop;
    std::vector<TaskId> acknowledged;
    /** Tasks that are to save a checkpoint, since they may have to be preempted. */
    std::vector<TaskId> checkpoint;
    /** Tasks that are to use as few resources as possible. */
    std::vector<TaskId> throttle;
};

/** Orders a worker to start one task. All times are on the worker's clock. */
struct StartOrder
{
    TaskId task;
    TeamId team;
    Epoch epoch;
    SessionId session;
    Instant notAfter;
    Instant leaseUntil;
    Resources reserved;
    /** True if the worker is to answer only when the task has ended, with its complete result. */
    bool answerWithResult = false;
    Blob payload;
};

} // namespace gentiancross
