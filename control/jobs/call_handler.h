#pragma once

#include "control/admission/admission_policy.h"
#include "control/jobs/queue_index.h"
#include "control/outbox.h"
#include "core/job_calls.h"

#include <map>
#include <set>
#include <string>

namespace gentiancross {

/** Receives the decisions on calls from CallHandler. Called on the control thread. */
class CallDecisionHandler
{
public:
    CallDecisionHandler() = default;
    CallDecisionHandler(const CallDecisionHandler &) = delete;
    CallDecisionHandler &operator=(const CallDecisionHandler &) = delete;
    virtual ~CallDecisionHandler() = default;

    /** Applies \a record to the job store, and appends it to the log with the next entry. */
    virtual void apply(JobRecord record) = 0;
    /** Answers a call once all records applied so far are durable. */
    virtual void answer(const CallOrigin &origin, CallAnswer answer) = 0;
};

/**
 * Handles calls from callers and operators for the leader, by the newest configuration. Thread
 * safety: owned by the control thread.
 */
class CallHandler
{
public:
    /** All must outlive this object. */
    CallHandler(const JobStoreData &store, const AdmissionPolicy &admission,
                CallDecisionHandler &decisions);

    /** A submission that its host sends again is accepted even if its key or queue is gone by now:
     * a refusal would be the caller's only answer. */
    void handle(Milliseconds wall, const CallOrigin &origin, const JobCall &call, Outbox &out);
    void handle(const CallOrigin &origin, const PutConfiguration &call, Outbox &out);
    void handle(const CallOrigin &origin, const GetConfiguration &call);
    /** Updates whether the job counts as waiting in its queue. An ordered start is no reason to
     * stop counting it, since the worker may execute the order late or never. */
    void updateWaiting(const JobId &id, const Job &job);
    /** Counts a job of an earlier leader as waiting until a worker confirms that a task has begun,
     * unless the job's progress shows that. */
    void inherit(const JobId &id, const Job &job);
    /** Records that a task of the job has begun. */
    void recordBegun(const JobId &id);

private:
    /** True if the call has already submitted a job that is stored. */
    [[nodiscard]] bool isRepeatedSubmission(const CallOrigin &origin, const JobCall &call) const;
    void submit(Milliseconds wall, const CallOrigin &origin, const JobCall &call,
                const QueueConfig &queue, const TeamId &team, const std::string &id, Outbox &out);
    void cancel(const CallOrigin &origin, const JobId &id, const Job &job, Outbox &out);
    /** Refuses a job that can't be stored; false if it can. */
    bool refuseForMemory(const CallOrigin &origin, const JobSpec &spec, const TeamId &team,
                         Outbox &out);
    void refuse(const CallOrigin &origin, Refusal refusal, std::string reason,
                Milliseconds retryAfter = {});
    [[nodiscard]] std::uint64_t waitingCount(const QueueId &queue) const;

    const JobStoreData &m_store;
    const AdmissionPolicy &m_admission;
    CallDecisionHandler &m_decisions;
    QueueIndex m_queues;
    /** Accepted jobs of which no task is known to have begun, by queue. */
    std::map<QueueId, std::set<JobId>> m_waiting;
};

} // namespace gentiancross
