#pragma once

#include "core/jobs.h"

#include <map>
#include <variant>

namespace gentiancross {

/** What is known of one task. */
struct TaskProgress
{
    /** The number of its last start; 0 if it never started. */
    RunNumber lastRun;
    std::uint32_t failures = 0;
    /** True while the last run may be at work. */
    bool isOpen = false;
    bool isDone = false;
    /** Where the last run was ordered. */
    WorkerIncarnation worker;
    /** What the next run resumes from; empty if it starts anew. */
    std::string checkpoint;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.lastRun, self.failures, self.mayStillRun, self.isDone, self.worker,
                        self.checkpoint);
    }
};

/** The tasks of each step, for one run of a job's steps. */
struct Occurrence
{
    std::vector<std::vector<TaskProgress>> steps;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.steps);
    }
};

/** The terms of its queue under which a job was accepted. */
struct JobTerms
{
    QueueId queue;
    PoolId pool;
    TeamId team;
    std::int64_t priority = 0;
    std::uint32_t maxAttempts = 1;
    Milliseconds allowance;
    std::int64_t stretchPermille = 1000;
    std::optional<AdviceTerms> advice;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.queue, self.pool, self.team, self.priority, self.maxAttempts,
                        self.allowance, self.stretchPermille, self.advice);
    }
};

/** A job and its progress. */
struct Job
{
    JobTerms terms;
    JobSpec spec;
    /** When it was accepted, by its leader's wall clock. */
    Milliseconds acceptedAt;
    JobState state = JobState::Queued;
    /** Occurrences that are under way. */
    std::map<std::uint32_t, Occurrence> occurrences;
    std::uint32_t occurrencesBegun = 0;
    std::uint32_t occurrencesDone = 0;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.terms, self.spec, self.acceptedAt, self.state, self.occurrences,
                        self.occurrencesBegun, self.occurrencesDone);
    }

    [[nodiscard]] bool isOver() const
    {
        return state != JobState::Queued && state != JobState::Running;
    }
};

/** All that a cell's keepers agree on: configuration, jobs, workers. */
struct JobStoreData
{
    std::optional<ConfigDocument> document;
    std::map<JobId, Job> jobs;
    std::map<WorkerIncarnation, WorkerReport> workers;
    /** The newest lives that have left, in the order in which they did. */
    std::vector<WorkerIncarnation> leftWorkers;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.document, self.jobs, self.workers, self.leftWorkers);
    }
};

/** A document is in force from here on if its version is the highest. */
struct DocumentAccepted
{
    ConfigDocument document;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.document);
    }
};

struct JobAccepted
{
    JobId id;
    JobTerms terms;
    JobSpec spec;
    Milliseconds acceptedAt;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.id, self.terms, self.spec, self.acceptedAt);
    }
};

struct JobCancelled
{
    JobId id;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.id);
    }
};

/** The job's next occurrence is due. */
struct OccurrenceBegun
{
    JobId id;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.id);
    }
};

/** A start is about to be ordered; from here on the run may be at work. */
struct RunOrdered
{
    JobTaskRef task;
    RunNumber run;
    WorkerIncarnation worker;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.task, self.run, self.worker);
    }
};

struct RunEnded
{
    JobTaskRef task;
    RunNumber run;
    RunEnding ending = RunEnding::Lost;
    /** The newest checkpoint; empty if there is none. */
    std::string checkpoint;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.task, self.run, self.ending, self.checkpoint);
    }
};

/** A worker is there, or has changed what it says of itself. */
struct WorkerReported
{
    WorkerReport report;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.report);
    }
};

/** A life of a worker is over; nothing runs there any more. */
struct WorkerIncarnationEnded
{
    WorkerIncarnation incarnation;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.incarnation);
    }
};

/** The run may be at work in another life of its worker, which an order to the former may reach. */
struct RunMoved
{
    JobTaskRef task;
    RunNumber run;
    WorkerIncarnation worker;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.task, self.run, self.worker);
    }
};

/** Nobody is to ask about these jobs any more. Those with a run that may be at work stay. */
struct JobsForgotten
{
    std::vector<JobId> jobs;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.jobs);
    }
};

/** The worker said that it ends; what it sent before may come yet and must not bring it back. */
struct WorkerLeft
{
    WorkerIncarnation incarnation;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.incarnation);
    }
};

/** New alternatives go to the end: their places are what journals hold. */
using JobRecord = std::variant<DocumentAccepted, JobAccepted, JobCancelled, OccurrenceBegun,
                               RunOrdered, RunEnded, WorkerReported, WorkerIncarnationEnded,
                               RunMoved, JobsForgotten, WorkerLeft>;

/** Changes of the job book that are agreed on together, in this order. */
struct JobChanges
{
    std::vector<JobRecord> records;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.records);
    }
};

} // namespace gentiancross
