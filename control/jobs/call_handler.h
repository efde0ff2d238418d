#pragma once

#include "control/outbox.h"
#include "core/job_calls.h"

#include <map>
#include <set>
#include <string>

namespace gentiancross {

/** Where a call came in: the host that holds the caller's connection, and its exchange there. */
struct CallOrigin
{
    HostId host;
    ExchangeId exchange;
    /** The process that has the connection; the next one numbers its exchanges anew. */
    SessionId session;
};

/** Takes what was decided on calls. */
class CallDecisionHandler
{
public:
    CallDecisionHandler() = default;
    CallDecisionHandler(const CallDecisionHandler &) = delete;
    CallDecisionHandler &operator=(const CallDecisionHandler &) = delete;
    virtual ~CallDecisionHandler() = default;

    /** Changes the book, and the log with the next entry. */
    virtual void apply(JobRecord record) = 0;
    /** Answers a call once all that was applied so far is durable. */
    virtual void answer(const CallOrigin &origin, CallAnswer answer) = 0;
};

/**
 * Decides the calls of callers and operators by the newest configuration. Thread safety: owned by
 * the control thread.
 */
class CallHandler
{
public:
    /** Both must outlive this object. */
    CallHandler(const JobStoreData &book, CallDecisionHandler &sink);

    void take(Milliseconds wall, const CallOrigin &origin, const JobCall &call, Outbox &out);
    void take(const CallOrigin &origin, const PutConfiguration &call, Outbox &out);
    void take(const CallOrigin &origin, const GetConfiguration &call);
    /** Counts the job as waiting or not. */
    void jobChanged(const JobId &id, const Job &job);

private:
    void submit(Milliseconds wall, const CallOrigin &origin, const JobCall &call,
                const QueueConfig &queue, const TeamId &team, const std::string &id, Outbox &out);
    void cancel(const CallOrigin &origin, const JobId &id, const Job &job, Outbox &out);
    void refuse(const CallOrigin &origin, Refusal refusal, std::string reason);
    [[nodiscard]] std::uint64_t waitingIn(const QueueId &queue) const;

    const JobStoreData &m_book;
    CallDecisionHandler &m_sink;
    /** Accepted jobs of which no task has started. */
    std::map<QueueId, std::set<JobId>> m_waiting;
};

} // namespace gentiancross
