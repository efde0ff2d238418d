#pragma once

#include "control/outbox.h"
#include "core/job_calls.h"

#include <map>
#include <set>
#include <vector>

namespace gentiancross {

/** The adviser's answers about the workers for one step. */
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
 * View of a step's advice at one point in time, so that many workers are checked with one look-up.
 * Thread safety: a value that refers to data of its AdviceCoordinator.
 */
class Advice
{
public:
    /** \a advice is null if nothing is known of the step. */
    Advice(Instant now, const StepAdvice *advice)
        : m_now(now)
        , m_advice(advice)
    {}

    /** The worker's ticket; null if there is none that stays valid until a start that is decided
     * now has been recorded and sent. */
    [[nodiscard]] const std::string *ticket(const WorkerId &worker) const;
    /** The worker's ticket; null if there is none that stays valid until an order that is sent now
     * arrives. */
    [[nodiscard]] const std::string *ticketToSend(const WorkerId &worker) const;
    /** True if the adviser answered that the worker may not run the step. */
    [[nodiscard]] bool isUnsuitable(const WorkerId &worker) const;
    /** Calls \a visit with the id of each worker whose ticket stays valid long enough. */
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
    [[nodiscard]] const StepAdvice::HeldTicket *find(const WorkerId &worker) const;

    Instant m_now;
    const StepAdvice *m_advice;
};

/**
 * Queries the adviser which workers may run a step, and caches its tickets for the leader. The
 * adviser serves one call per host at a time, so queries are spread over the hosts that can reach
 * it. Thread safety: owned by the control thread.
 */
class AdviceCoordinator
{
public:
    /** Queries are numbered after \a last, so that a late answer to a query of an earlier leader
     * does not match one of these. */
    explicit AdviceCoordinator(HostId self, AdviceRequestId last = {});

    /** Records that a host that can call the adviser was heard from. */
    void recordHostSeen(Instant now, const HostId &host);

    /** True if no query about the step is in flight and a host is available. Long queries leave
     * some hosts free for short ones. */
    [[nodiscard]] bool canQuery(Instant now, const StepRef &step, const AdviceTerms &terms) const;
    /** True if more than half of the hosts that call the adviser are free, so that further queries
     * leave some for others. */
    [[nodiscard]] bool hasSpareHosts(Instant now) const;
    /** True if a query about the step is in flight. */
    [[nodiscard]] bool isQuerying(const StepRef &step) const;
    /** Queries the adviser about \a workers, through the host that is available first. */
    void query(Instant now, const StepRef &step, const AdviceTerms &terms,
               std::vector<WorkerId> workers, Outbox &out);
    void receive(Instant now, const AdviceResponse &response, Outbox &out);
    /** Ends queries whose deadline has passed without an answer. */
    void tick(Instant now, Outbox &out);

    /** The advice known for the step. Valid until the next call of a non-const method. */
    [[nodiscard]] Advice adviceFor(Instant now, const StepRef &step) const;
    /** Removes the worker's ticket, which the worker has refused. */
    void dropTicket(const StepRef &step, const WorkerId &worker);
    /** Removes all advice for the job, of which nothing will start any more. */
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
        /** Estimated time at which the host has finished its queries. */
        Instant availableAt;
    };

    /** The hosts that can call the adviser, and those of them without a query in flight. */
    struct HostCount
    {
        std::size_t present = 0;
        std::size_t free = 0;
    };

    [[nodiscard]] HostCount countHosts(Instant now) const;
    [[nodiscard]] HostId chooseHost(Instant now);
    void finishQuery(Instant now, std::map<AdviceRequestId, Query>::iterator found,
                     const AdviceResponse &response, Outbox &out);

    HostId m_self;
    AdviceRequestId m_lastQuery;
    std::map<HostId, Caller> m_hosts;
    std::map<StepRef, StepAdvice> m_steps;
    std::map<AdviceRequestId, Query> m_queries;
};

} // namespace gentiancross
