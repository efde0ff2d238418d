#pragma once

#include "control/outbox.h"
#include "core/job_calls.h"

#include <map>
#include <set>
#include <vector>

namespace gentiancross {

/** What the adviser has said of the workers for one step. */
struct StepAdvice
{
    struct HeldTicket
    {
        std::string ticket;
        Instant validUntil;
    };

    std::map<WorkerId, HeldTicket> tickets;
    std::set<WorkerId> unsuitable;
    std::uint32_t pending = 0;
    Instant nextQuery;
};

/**
 * A step's advice as of one moment, looked up once for many workers. Thread safety: a value that
 * refers to its desk.
 */
class Advice
{
public:
    /** \a advice may be null: nothing is known. */
    Advice(Instant now, const StepAdvice *advice)
        : m_now(now)
        , m_advice(advice)
    {}

    /** The worker's ticket; null if there is none that stays valid long enough. */
    [[nodiscard]] const std::string *ticket(const WorkerId &worker) const;
    /** True if the adviser has said that the worker may not run the step. */
    [[nodiscard]] bool isUnsuitable(const WorkerId &worker) const;
    /** Calls \a visit with the name of each worker whose ticket stays valid long enough. */
    template <typename Visitor>
    void forEachTicketHolder(Visitor visit) const
    {
        if (m_advice == nullptr)
            return;
        for (const auto &[worker, held] : m_advice->tickets) {
            if (isValid(held))
                visit(worker);
        }
    }

private:
    [[nodiscard]] bool isValid(const StepAdvice::HeldTicket &held) const;

    Instant m_now;
    const StepAdvice *m_advice;
};

/**
 * Asks the adviser which workers may run a step and keeps its tickets. The adviser serves one
 * call of each host at a time, so the calls are spread over the hosts that can make them.
 * Thread safety: owned by the control thread.
 */
class AdviceCoordinator
{
public:
    /** Questions are numbered from \a last on, so that a late answer to an earlier leader's is not
     * taken for one of these. */
    explicit AdviceCoordinator(HostId self, AskId last = {});

    /** A host that can call the adviser is there. */
    void recordHostSeen(Instant now, const HostId &host);

    /** True if no question about the step is under way and a host has time for one. Questions that
     * take long leave some hosts free for the others. */
    [[nodiscard]] bool canQuery(Instant now, const StepRef &step, const AdviceTerms &terms) const;
    /** Asks about \a workers, on the host that is free first. */
    void query(Instant now, const StepRef &step, const AdviceTerms &terms,
               std::vector<WorkerId> workers, Outbox &out);
    void receive(Instant now, const AdviceTold &response, Outbox &out);
    /** Gives up on questions that stayed without an answer. */
    void tick(Instant now, Outbox &out);

    /** What is known of the step's workers. Valid until the desk is called again. */
    [[nodiscard]] Advice adviceFor(Instant now, const StepRef &step) const;
    /** The worker refused the ticket. */
    void dropTicket(const StepRef &step, const WorkerId &worker);
    /** Nothing of the job will start any more. */
    void forgetJob(const JobId &job);

private:
    struct Query
    {
        StepRef step;
        HostId host;
        std::vector<WorkerId> workers;
        Instant askedAt;
        Instant deadline;
    };

    struct Caller
    {
        Instant lastSeen;
        /** When what it was asked to do is done, by estimate. */
        Instant availableAt;
    };

    [[nodiscard]] HostId chooseHost(Instant now);
    void finishQuery(Instant now, std::map<AskId, Query>::iterator found,
                     const AdviceTold &response, Outbox &out);

    HostId m_self;
    AskId m_lastQuery;
    std::map<HostId, Caller> m_hosts;
    std::map<StepRef, StepAdvice> m_steps;
    std::map<AskId, Query> m_queries;
};

} // namespace gentiancross
