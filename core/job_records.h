#pragma once

#include "core/jobs.h"

#include <map>
#include <set>
#include <variant>

namespace gentiancross {

/** The state of one task. */
struct TaskProgress
{
    /** The number of its last run; 0 if it never started. */
    RunNumber lastRun;
    /** Failed runs; of a gang's member, those of the gang up to its last start and its own. */
    std::uint32_t failures = 0;
    /** True while the last run may still be running. */
    bool mayStillRun = false;
    bool isDone = false;
    /** The worker that was ordered to start the last run. */
    WorkerIncarnation worker;
    /** The checkpoint that the next run resumes from; empty if it starts from scratch. */
    std::string checkpoint;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.lastRun, self.failures, self.mayStillRun, self.isDone, self.worker,
                        self.checkpoint);
    }
};

/** One execution of a job's steps: the tasks of each step. */
struct Occurrence
{
    std::vector<std::vector<TaskProgress>> steps;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.steps);
    }
};

/** The settings of its queue at the time when a job was accepted. */
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
    /** When it was accepted, by the wall clock of the leader at that time. */
    Milliseconds acceptedAt;
    JobState state = JobState::Queued;
    /** Occurrences in progress, by number. */
    std::map<std::uint32_t, Occurrence> occurrences;
    std::uint32_t occurrencesBegun = 0;
    std::uint32_t occurrencesDone = 0;
    /** Empty for a job that a former version has stored. */
    CallOrigin submittedBy;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.terms, self.spec, self.acceptedAt, self.state, self.occurrences,
                        self.occurrencesBegun, self.occurrencesDone, self.submittedBy);
    }

    [[nodiscard]] bool isOver() const
    {
        return state != JobState::Queued && state != JobState::Running;
    }
};

/** The state that a cell's keepers replicate: configuration, jobs, workers. */
struct JobStoreData
{
    SharedDocument document;
    std::map<JobId, Job> jobs;
    std::map<WorkerIncarnation, WorkerReport> workers;
    /** The most recent incarnations that have left, oldest first. */
    std::vector<WorkerIncarnation> leftWorkers;
    /** Data centres in which nothing may be started, by order of the operator. */
    std::set<DataCentreId> evacuatedDataCentres;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.document, self.jobs, self.workers, self.leftWorkers,
                        self.evacuatedDataCentres);
    }
};

/** A configuration was accepted; it is in force if its version is the highest. */
struct DocumentAccepted
{
    /** A record without a document changes nothing. */
    SharedDocument document;

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
    CallOrigin submittedBy;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.id, self.terms, self.spec, self.acceptedAt, self.submittedBy);
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

/** A start is about to be ordered; from here on the run may be running. */
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

/** A worker has appeared or changed its report. */
struct WorkerReported
{
    WorkerReport report;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.report);
    }
};

/** An incarnation of a worker is over; nothing runs there any more. */
struct WorkerIncarnationEnded
{
    WorkerIncarnation incarnation;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.incarnation);
    }
};

/** The run may be running in another incarnation, reached by an order sent to the former one. */
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

/** The retention of these jobs is over. Jobs with a run that may still be running are kept. */
struct JobsForgotten
{
    std::vector<JobId> jobs;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.jobs);
    }
};

/** The incarnation has announced its shutdown, or its successor has answered; messages that it sent
 * earlier may still arrive and are ignored. */
struct WorkerLeft
{
    WorkerIncarnation incarnation;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.incarnation);
    }
};

/** From here on nothing is started in the data centre. */
struct EvacuationBegun
{
    DataCentreId dataCentre;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.dataCentre);
    }
};

/** Work may be started in the data centre again. */
struct EvacuationEnded
{
    DataCentreId dataCentre;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.dataCentre);
    }
};

/** Append new alternatives at the end: journals store their index. */
using JobRecord
        = std::variant<DocumentAccepted, JobAccepted, JobCancelled, OccurrenceBegun, RunOrdered,
                       RunEnded, WorkerReported, WorkerIncarnationEnded, RunMoved, JobsForgotten,
                       WorkerLeft, EvacuationBegun, EvacuationEnded>;

/** Changes of the job store that are committed as one log entry, in this order. */
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
