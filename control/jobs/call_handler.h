#pragma once

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
    /** Both must outlive this object. */
    CallHandler(const JobStoreData &store, CallDecisionHandler &decisions);

    /** A submission that its host sends again is accepted even if its key or queue is gone by now:
     * a refusal would be the caller's only answer. */
    void handle(Milliseconds wall, const CallOrigin &origin, const JobCall &call, Outbox &out);
    void handle(const CallOrigin &origin, const PutConfiguration &call, Outbox &out);
    void handle(const CallOrigin &origin, const GetConfiguration &call);
    /** Updates whether the job counts as waiting in its queue. */
    void updateWaiting(const JobId &id, const Job &job);

private:
    /** True if the call has already submitted a job that is stored. */
    [[nodiscard]] bool isRepeatedSubmission(const CallOrigin &origin, const JobCall &call) const;
    void submit(Milliseconds wall, const CallOrigin &origin, const JobCall &call,
                const QueueConfig &queue, const TeamId &team, const std::string &id, Outbox &out);
    void cancel(const CallOrigin &origin, const JobId &id, const Job &job, Outbox &out);
    void refuse(const CallOrigin &origin, Refusal refusal, std::string reason);
    [[nodiscard]] std::uint64_t waitingCount(const QueueId &queue) const;

    const JobStoreData &m_store;
    CallDecisionHandler &m_decisions;
    QueueIndex m_queues;
    /** Accepted jobs of which no task has started, by queue. */
    std::map<QueueId, std::set<JobId>> m_waiting;
};

} // namespace gentiancross
