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
    struct Held
    {
        std::string ticket;
        Instant validUntil;
    };

    std::map<WorkerId, Held> good;
    std::set<WorkerId> bad;
    std::uint32_t pending = 0;
    Instant nextAsk;
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
    [[nodiscard]] bool isBad(const WorkerId &worker) const;
    /** Calls \a visit with the name of each worker whose ticket stays valid long enough. */
    template <typename Visitor>
    void forEachTicketHolder(Visitor visit) const
    {
        if (m_advice == nullptr)
            return;
        for (const auto &[worker, held] : m_advice->good) {
            if (isValid(held))
                visit(worker);
        }
    }

private:
    [[nodiscard]] bool isValid(const StepAdvice::Held &held) const;

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
    explicit AdviceCoordinator(HostId self, AdviceRequestId last = {});

    /** A host that can call the adviser is there. */
    void recordHostSeen(Instant now, const HostId &host);

    /** True if no question about the step is under way and a host has time for one. Questions that
     * take long leave some hosts free for the others. */
    [[nodiscard]] bool canQuery(Instant now, const StepRef &step, const AdviceTerms &terms) const;
    /** Asks about \a workers, on the host that is free first. */
    void ask(Instant now, const StepRef &step, const AdviceTerms &terms,
             std::vector<WorkerId> workers, Outbox &out);
    void receive(Instant now, const AdviceResponse &told, Outbox &out);
    /** Gives up on questions that stayed without an answer. */
    void tick(Instant now, Outbox &out);

    /** What is known of the step's workers. Valid until the desk is called again. */
    [[nodiscard]] Advice adviceFor(Instant now, const StepRef &step) const;
    /** The worker refused the ticket. */
    void drop(const StepRef &step, const WorkerId &worker);
    /** Nothing of the job will start any more. */
    void forget(const JobId &job);

private:
    struct Question
    {
        StepRef step;
        HostId host;
        std::vector<WorkerId> workers;
        Instant askedAt;
        Instant givenUpAt;
    };

    struct Caller
    {
        Instant lastSeen;
        /** When what it was asked to do is done, by estimate. */
        Instant freeAt;
    };

    [[nodiscard]] HostId chooseHost(Instant now);
    void end(Instant now, std::map<AdviceRequestId, Question>::iterator found,
             const AdviceResponse &told, Outbox &out);

    HostId m_self;
    AdviceRequestId m_lastAsk;
    std::map<HostId, Caller> m_hosts;
    std::map<StepRef, StepAdvice> m_steps;
    std::map<AdviceRequestId, Question> m_questions;
};

} // namespace gentiancross
