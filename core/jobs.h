#pragma once

#include "core/ids.h"
#include "core/shared_value.h"
#include "core/units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace gentiancross {

/** Identifies a job; chosen by the caller, so that a resend refers to the same job. */
using JobId = TextId<struct JobTag>;
/** Identifies a queue that jobs are submitted to. */
using QueueId = TextId<struct QueueTag>;
/** Identifies a pool of workers that serves one or more queues. */
using PoolId = TextId<struct PoolTag>;
/** A caller's secret key as sent with the call. */
using ApiKey = TextId<struct ApiKeyTag>;
/** Counts the starts of one task; a later start has a higher number. */
using RunNumber = NumberId<struct RunNumberTag>;
/** Increases with each leader of a cell; workers refuse orders with a lower one. */
using Fence = NumberId<struct FenceTag>;
/** Increases whenever a leader invalidates its earlier orders to a worker that may still arrive. */
using FenceRevision = NumberId<struct FenceRevisionTag>;
/** What a worker compares: the fence of the leader, then the revision for this worker. */
using FencingToken = NumberId<struct FencingTokenTag>;
using DocumentVersion = NumberId<struct DocumentVersionTag>;
/** Numbers the completions that one incarnation of a worker reports. */
using CompletionNumber = NumberId<struct EndNumberTag>;
/** Identifies a request to an adviser. */
using AdviceRequestId = NumberId<struct AskTag>;

/** Origin of a call: the host that has the caller's connection, and the exchange on that host. The
 * host may send the call again; a caller's own repetition has another origin. */
struct CallOrigin
{
    HostId host;
    ExchangeId exchange;
    /** The process that has the connection; exchange ids start over with each process. */
    SessionId session;

    bool operator==(const CallOrigin &) const = default;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.host, self.exchange, self.session);
    }
};

/** One lifetime of a worker process, whatever address it has: its name and its birth time. */
struct WorkerIncarnation
{
    WorkerId worker;
    /** When it started, by the worker's wall clock. */
    Milliseconds born;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.worker, self.born);
    }

    auto operator<=>(const WorkerIncarnation &) const = default;
    bool operator==(const WorkerIncarnation &) const = default;
};

/** Identifies one step of one occurrence of a job. */
struct StepRef
{
    JobId job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.job, self.occurrence, self.step);
    }

    auto operator<=>(const StepRef &) const = default;
    bool operator==(const StepRef &) const = default;
};

/** Identifies one task of a step. */
struct JobTaskRef
{
    StepRef step;
    std::uint32_t index = 0;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.step, self.index);
    }

    auto operator<=>(const JobTaskRef &) const = default;
    bool operator==(const JobTaskRef &) const = default;
};

/** The requirements of one step of a job. */
struct StepSpec
{
    std::uint32_t count = 1;
    /** The resources that one task requests; slots are not used. */
    Resources perTask;
    /** The submitter's estimate of a task's duration. */
    Milliseconds estimate;
    /** Indices of earlier steps whose tasks must all be done first. */
    std::vector<std::uint32_t> after;
    bool checkpoints = false;
    /** True if all tasks run together and end together. */
    bool isGang = false;
    bool prefersOneRack = false;
    /** Empty if any worker will do. */
    std::string requiredLabel;
    /** The rack that stores the input data; empty if there is none. */
    std::string dataRack;
    /** Maximum number of tasks of the step on one worker; 0 for no limit. */
    std::uint32_t maxPerWorker = 0;
    bool maySpeculate = false;
    /** True if tasks run until the job is cancelled and are restarted whenever they end. */
    bool isLongRunning = false;
    /** Tasks with the same image are assumed to behave alike. */
    std::string image;
    /** Upper bound of the tail latency of a long-running task; 0 for none. */
    Milliseconds tailLatencyTarget;
    /** True if tasks use only processor time left over by others; their cores are not reserved. */
    bool isBestEffort = false;
    /** How many tasks of a long-running step may be disrupted at once. */
    std::uint32_t disruptionBudget = 0;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.count, self.perTask, self.estimate, self.after, self.checkpoints,
                        self.isGang, self.prefersOneRack, self.requiredLabel, self.dataRack,
                        self.maxPerWorker, self.maySpeculate, self.isLongRunning, self.image,
                        self.tailLatencyTarget, self.isBestEffort, self.disruptionBudget);
    }

    /** True if tasks serve users of their own, whose response times must stay below a target. */
    [[nodiscard]] bool hasTailTarget() const
    {
        return isLongRunning && tailLatencyTarget > Milliseconds(0);
    }
    /** What a task reserves of its worker's free capacity. */
    [[nodiscard]] Resources reserved() const
    {
        Resources reservation = perTask;
        if (isBestEffort)
            reservation.cores = MilliCores(0);
        return reservation;
    }
};

/** A job as submitted by a caller. */
struct JobSpec
{
    /** Passed to the workers unchanged. */
    std::string payload;
    std::vector<StepSpec> steps;
    /** Number of scheduled occurrences; 0 for a single one that starts at once. */
    std::uint32_t repeats = 0;
    /** When the first occurrence is due, by the wall clock. */
    Milliseconds firstDue;
    Milliseconds period;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.payload, self.steps, self.repeats, self.firstDue, self.period);
    }
};

/** A specification of thousands of steps takes some MB; the messages in flight share it. */
using SharedJobSpec = SharedValue<JobSpec>;

/** The cost of asking the adviser about one step, and the validity of its answer. */
struct AdviceTerms
{
    /** Time per request, and the additional time for each worker in it. */
    std::int64_t baseMicroseconds = 0;
    std::int64_t perWorkerMicroseconds = 0;
    /** How long a ticket is valid. */
    Milliseconds validity;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.baseMicroseconds, self.perWorkerMicroseconds, self.validity);
    }
};

/** A queue as the operator configured it. */
struct QueueConfig
{
    QueueId queue;
    std::string host;
    std::string pathPrefix;
    Milliseconds timeout;
    /** How long a job may take beyond its own work and still be on time. */
    Milliseconds allowance;
    /** 0 is the most urgent. */
    std::int64_t priority = 0;
    PoolId pool;
    std::uint32_t maxAttempts = 1;
    /** A job's target time is its critical path times this factor, in thousandths. */
    std::int64_t stretchPermille = 1000;
    std::optional<AdviceTerms> advice;
    bool isPublic = false;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.queue, self.host, self.pathPrefix, self.timeout, self.allowance,
                        self.priority, self.pool, self.maxAttempts, self.stretchPermille,
                        self.advice, self.isPublic);
    }
};

/** A pool of workers as the operator configured it. */
struct PoolConfig
{
    PoolId pool;
    /** True if its workers refuse tasks that exceed their free capacity. */
    bool enforcesCapacity = false;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.pool, self.enforcesCapacity);
    }
};

/** A team as the operator configured it. */
struct TeamConfig
{
    TeamId team;
    std::vector<ApiKey> keys;
    std::int64_t weight = 1;
    /** Limit on its running tasks over all workers; 0 in a field means no limit. */
    Resources cap;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.team, self.keys, self.weight, self.cap);
    }
};

/** A complete configuration; the highest version is in force. */
struct ConfigDocument
{
    DocumentVersion version;
    std::vector<QueueConfig> queues;
    std::vector<PoolConfig> pools;
    std::vector<TeamConfig> teams;
    /** The bytes sent by the operator, returned unchanged when read back. */
    std::string source;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.version, self.queues, self.pools, self.teams, self.source);
    }
};

/** A document has thousands of queues at times; the log, the copies of the job store and the
 * messages in flight share it. */
using SharedDocument = SharedValue<ConfigDocument>;

/** A worker's description of itself, sent with its heartbeats. */
struct WorkerReport
{
    WorkerIncarnation incarnation;
    PoolId pool;
    /** "ip:port". */
    std::string address;
    DataCentreId dataCentre;
    bool isDraining = false;
    Resources capacity;
    RackId rack;
    /** Labels that a step may require. */
    std::vector<std::string> labels;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.incarnation, self.pool, self.address, self.dataCentre, self.isDraining,
                        self.capacity, self.rack, self.labels);
    }

    bool operator==(const WorkerReport &) const = default;
};

/** How a run of a task ended. */
enum class RunEnding {
    Done,
    Failed,
    Stopped,
    /** Its lease expired. */
    Lapsed,
    /** Another member of its gang ended. */
    GangBroken,
    /** Its gang did not become complete in time. */
    GangIncomplete,
    /** The worker did not accept the order. */
    NotStarted,
    /** Its worker is gone or no longer knows the run. */
    Lost,
};

enum class JobState { Queued, Running, Completed, Failed, Cancelled };

} // namespace gentiancross
