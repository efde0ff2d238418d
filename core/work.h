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

/** The kinds of work, each with its own placement and answer policy. */
enum class WorkKind { Short, Batch, Service, Gang };

/** What became of a request, as far as the system knows it for a fact. */
enum class Outcome { Pending, Done, NotRun, Unknown, Failed, Cancelled };

/** No request has more tasks. */
inline constexpr std::uint32_t MaxTasksPerRequest = 10'000;

/** What a caller asks for. */
struct WorkSpec
{
    WorkKind kind = WorkKind::Short;
    Resources perTask;
    /** Tasks of the job: replicas of a service, members of a gang, 1 for a short request. */
    std::uint32_t taskCount = 1;
    /** A worker is eligible if it has each of these labels with the same value. */
    Labels selector;
    Milliseconds deadline{10'000};
    Milliseconds declaredRunTime{0};
    bool urgent = false;
    /** False for work that must run at most once. */
    bool idempotent = true;
    /** Handed to the worker as it came. */
    Blob payload;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.kind, self.perTask, self.taskCount, self.selector, self.deadline,
                        self.declaredRunTime, self.urgent, self.idempotent, self.payload);
    }
};

/** True if two requests ask for the same work, so that one may be a resend of the other. Reentrant.
 */
inline bool isSameWork(const WorkSpec &first, const WorkSpec &second)
{
    return first.kind == second.kind && first.perTask == second.perTask
            && first.taskCount == second.taskCount && first.selector == second.selector
            && first.idempotent == second.idempotent && first.payload == second.payload;
}

/** A task that a worker says it runs, with the usage it has seen (which lags). */
struct RunningTask
{
    TaskId task;
    TeamId team;
    Resources reserved;
    MilliCores usedCores;
    Mebibytes usedMemory;
};

/** A task that a worker says has ended; repeated until it is acknowledged. */
struct FinishedTask
{
    TaskId task;
    bool succeeded = false;
    Milliseconds ranFor;
};

/** What a worker says of itself, again and again. */
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
    /** The worker's own monotonic clock when it announced. */
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
    /** Where the worker is to announce itself instead, as "ip:port"; nothing else holds then. */
    std::string announceTo;
    Epoch epoch;
    /** On the worker's clock: tasks announced as running may run until then, unless in `stop`. */
    Instant leaseUntil;
    std::vector<TaskId> stop;
    std::vector<TaskId> acknowledged;
    /** Tasks whose progress is to be saved, since they may have to make room. */
    std::vector<TaskId> checkpoint;
    /** Tasks that are to use as little as they can. */
    std::vector<TaskId> throttle;
};

/** An order to a worker to start one task. All times are on the worker's clock. */
struct StartOrder
{
    TaskId task;
    TeamId team;
    Epoch epoch;
    SessionId session;
    Instant notAfter;
    Instant leaseUntil;
    Resources reserved;
    /** True if the worker is to answer only when the task has ended, with its whole result. */
    bool answerWithResult = false;
    Blob payload;
};

} // namespace gentiancross
