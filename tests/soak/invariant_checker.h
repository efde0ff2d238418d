#pragma once

#include "drivers/system_clock.h"

#include <cstdint>
#include <fstream>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace gentiancross::tests {

/** Shape of one step of a job; reaches the workers in the job's payload. */
struct SoakStep
{
    int count = 1;
    std::int64_t millicores = 1000;
    std::int64_t runMs = 500;
    /** Starts only after the previous step has completed. */
    bool waitsForPrevious = false;
};

/** How an order was executed. */
enum class Delivery {
    Answered,
    /** Without a response, at once or late. */
    Unanswered,
    /** Late, after the worker had started again under its name. */
    NextIncarnation,
};

/** A completion that the leader has acknowledged to a worker. */
struct AcknowledgedCompletion
{
    std::string task;
    /** How often the task had started when the run completed. */
    std::uint64_t startsBefore = 0;
    /** True if the worker's lease lapsed between the completion and its acknowledgement. */
    bool hasLapsed = false;
    Delivery delivery = Delivery::Answered;
};

/**
 * Records what callers and workers of a soak observe, and checks it against the guarantees of the
 * scheduler. Called by SoakClients, EmulatedWorker and Soak. Thread safety: all methods may be
 * called from any thread.
 */
class InvariantChecker
{
public:
    /** Writes each observation as a line to the file \a path. */
    explicit InvariantChecker(const std::string &path);

    void recordSubmission(const std::string &job, const std::vector<SoakStep> &steps);
    /** An attempt to submit the job begins; until its response the job may run. */
    void recordAttempt(const std::string &job);
    /** The attempt was not sent, or its response says nothing about the job. */
    void recordAttemptEnd(const std::string &job);
    /** The response says that the job is stored. */
    void recordAcceptance(const std::string &job);
    /** There was no conclusive response, so the job may run. */
    void recordUncertainOutcome(const std::string &job);
    /** The response says that the job has not run and never will. */
    void recordRejection(const std::string &job);
    void recordCancellation(const std::string &job);
    /** The response to a state query; "gone" if the job is unknown. */
    void recordShownState(const std::string &job, const std::string &state);

    /** A worker started a run of the task. The guarantees hold for late starts, too. */
    void recordRunStart(const std::string &task, std::uint64_t run, const std::string &worker,
                        Delivery delivery);
    /** A run has ended; \a isDone if it completed its work. Returns how often the task has
     * started so far. */
    std::uint64_t recordRunEnd(const std::string &task, const std::string &worker, bool isDone);
    /** The leader has acknowledged a completion, so the task may not start after it. */
    void recordAcknowledgement(const AcknowledgedCompletion &completion);
    void checkCapacity(const std::string &worker, std::int64_t millicores,
                       std::int64_t capacityMillicores);

    /** Writes a line that is not checked, such as an injected fault. */
    void recordEvent(const std::string &what);
    void reportViolation(const std::string &what);

    /** Accepted jobs that were neither cancelled nor reported as completed. */
    [[nodiscard]] std::set<std::string> unfinishedJobs() const;
    [[nodiscard]] std::vector<std::string> violations() const;
    [[nodiscard]] std::uint64_t startCount() const;
    /** How often each kind of event that the summary names was seen. */
    [[nodiscard]] std::map<std::string, std::uint64_t> eventCounts() const;
    /** By accepted job, the time from its submission to its first start. */
    [[nodiscard]] std::vector<double> startDelaysMs() const;

private:
    struct ObservedJob
    {
        std::vector<SoakStep> steps;
        std::int64_t sentAtMs = 0;
        std::int64_t startedAtMs = -1;
        bool isAccepted = false;
        bool mayRun = false;
        bool isRejected = false;
        bool hasOpenAttempt = false;
        bool isCancelled = false;
        bool isCompleted = false;
        /** By step, the tasks that have completed. */
        std::map<std::size_t, std::set<std::string>> completedTasks;
    };

    void write(const std::string &what);
    void addViolation(const std::string &what);
    void checkOrder(const ObservedJob &job, const std::string &task);

    mutable std::mutex m_mutex;
    SystemClock m_clock;
    Instant m_begin;
    std::ofstream m_file;
    std::map<std::string, ObservedJob> m_jobs;
    /** By task, the workers that are running it, and how the start was executed there. */
    std::map<std::string, std::map<std::string, Delivery>> m_runningOn;
    std::map<std::string, std::uint64_t> m_startsByTask;
    std::set<std::string> m_acknowledgedTasks;
    std::map<std::string, std::uint64_t> m_eventCounts;
    std::vector<std::string> m_violations;
    std::uint64_t m_startCount = 0;
};

} // namespace gentiancross::tests
