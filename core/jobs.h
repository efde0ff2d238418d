#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace gentiancross {

/** Names a job; the caller chooses it, so a resend names the same job. */
using JobId = TextId<struct JobTag>;
/** Names a queue that jobs are handed in to. */
using QueueId = TextId<struct QueueTag>;
/** Names a pool of workers that runs the tasks of some queues. */
using PoolId = TextId<struct PoolTag>;
/** A caller's secret key as it came with the call. */
using ApiKey = TextId<struct ApiKeyTag>;
/** Counts the starts of one task; a later start has a higher number. */
using RunNumber = NumberId<struct RunNumberTag>;
/** Grows with each leader of a cell; workers refuse orders of a lower one. */
using Fence = NumberId<struct FenceTag>;
using DocumentVersion = NumberId<struct DocumentVersionTag>;
/** Numbers the ends that one life of a worker lists. */
using CompletionNumber = NumberId<struct EndNumberTag>;
/** Names a question to an adviser. */
using AdviceRequestId = NumberId<struct AskTag>;

/** One life of a worker: from its start until it ends, whatever address it has. */
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

/** Names one step of one occurrence of a job. */
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

/** Names one task of a step. */
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

/** What a job's steps ask for. */
struct StepSpec
{
    std::uint32_t count = 1;
    /** What one task asks for; slots are not used. */
    Resources each;
    /** The submitter's guess of a task's duration. */
    Milliseconds estimate;
    /** Earlier steps whose tasks must all be done first. */
    std::vector<std::uint32_t> after;
    bool checkpoints = false;
    /** All tasks run together and end together. */
    bool isGang = false;
    bool prefersOneRack = false;
    /** Empty if any worker will do. */
    std::string requiredLabel;
    /** The rack that holds the data; empty if there is none. */
    std::string dataRack;
    /** The most tasks of the step on one worker; 0 for no bound. */
    std::uint32_t maxPerWorker = 0;
    bool maySpeculate = false;
    /** Tasks run until the job is cancelled and are restarted whenever they end. */
    bool isLongRunning = false;
    /** Tasks of the same image behave alike. */
    std::string image;
    /** The tail of the response times of a lasting task must stay below this; 0 for none. */
    Milliseconds tailLatencyTarget;
    /** Takes the processor time that others leave unused; its cores are not reserved. */
    bool isBestEffort = false;
    /** How many tasks of a lasting step may be taken away at once. */
    std::uint32_t disruptionBudget = 0;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.count, self.perTask, self.estimate, self.after, self.checkpoints,
                        self.isGang, self.prefersOneRack, self.requiredLabel, self.dataRack,
                        self.maxPerWorker, self.maySpeculate, self.isLongRunning, self.image,
                        self.tailLatencyTarget, self.isBestEffort, self.disruptionBudget);
    }

    /** What a task takes from its worker's room. */
    [[nodiscard]] Resources reserved() const
    {
        Resources room = each;
        if (isBestEffort)
            room.cores = MilliCores(0);
        return room;
    }
};

/** What a caller hands in. */
struct JobSpec
{
    /** Goes to the workers as it came. */
    std::string payload;
    std::vector<StepSpec> steps;
    /** How often the steps run at set times; 0 for once, at once. */
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

/** What asking the adviser about one step of a queue takes. */
struct AdviceTerms
{
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
    /** What a job may take beyond its own work and still be on time. */
    Milliseconds allowance;
    /** 0 is the most urgent. */
    std::int64_t priority = 0;
    PoolId pool;
    std::uint32_t maxAttempts = 1;
    /** A job's time is measured against its longest chain of work times this, in thousandths. */
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
    /** True if its workers refuse what does not fit. */
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
    /** What it may have running over all workers; 0 in a part for no bound. */
    Resources cap;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.team, self.keys, self.weight, self.cap);
    }
};

/** A whole configuration; the highest version is in force. */
struct ConfigDocument
{
    DocumentVersion version;
    std::vector<QueueConfig> queues;
    std::vector<PoolConfig> pools;
    std::vector<TeamConfig> teams;
    /** The bytes that the operator sent, to be read back unchanged. */
    std::string source;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.version, self.queues, self.pools, self.teams, self.source);
    }
};

/** What a worker says of itself. */
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
    /** What a step may ask for by label. */
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
    /** Its lease ran out. */
    Lapsed,
    /** Another member of its gang ended. */
    Broken,
    /** Its gang was not complete in time. */
    Alone,
    /** The worker did not take the order. */
    NotStarted,
    /** Its worker is gone or no longer knows of it. */
    Lost,
};

enum class JobState { Queued, Running, Completed, Failed, Cancelled };

} // namespace gentiancross
