#include "control/jobs/advice_desk.h"

#include <algorithm>

namespace gentiancross {

namespace {

/** Hosts report twice a second; three missed reports and a host is not asked any more. */
constexpr Milliseconds HostAge{1600};
/** An order must reach its worker while the ticket is valid: one commit and one round trip. */
constexpr Milliseconds TicketMargin{250};
/** What a call may take beyond the adviser's own time: queueing there and two round trips. */
constexpr Milliseconds CallSlack{1500};
/** After a question without an answer the adviser is left alone for this long. */
constexpr Milliseconds RetryPause{200};
constexpr std::int64_t MicrosecondsPerMillisecond = 1000;

} // namespace

AdviceDesk::AdviceDesk(HostId self)
    : m_self(std::move(self))
{}

void AdviceDesk::hostSeen(Instant now, const HostId &host)
{
    m_hosts[host].lastSeen = now;
}

bool AdviceDesk::mayAsk(Instant now, const StepRef &step) const
{
    const auto found = m_steps.find(step);
    return found == m_steps.end() || (found->second.pending == 0 && now >= found->second.nextAsk);
}

HostId AdviceDesk::chooseHost(Instant now)
{
    HostId best = m_self;
    Instant bestFree = std::max(now, m_hosts[m_self].freeAt);
    for (const auto &[host, caller] : m_hosts) {
        if (host == m_self || now - caller.lastSeen > HostAge)
            continue;
        const Instant free = std::max(now, caller.freeAt);
        // The leader's own host has the most to do, so others go first.
        if (free < bestFree || (free == bestFree && best == m_self)) {
            best = host;
            bestFree = free;
        }
    }
    return best;
}

void AdviceDesk::ask(Instant now, const StepRef &step, const AdviceTerms &terms,
                     std::vector<WorkerId> workers, Outbox &out)
{
    const HostId host = chooseHost(now);
    const std::int64_t micros = terms.decideMicroseconds
            + terms.eachMicroseconds * static_cast<std::int64_t>(workers.size());
    const Milliseconds cost(micros / MicrosecondsPerMillisecond + 1);
    Caller &caller = m_hosts[host];
    caller.freeAt = std::max(now, caller.freeAt) + cost;
    m_lastAsk = m_lastAsk.next();
    const Milliseconds timeout = (caller.freeAt - now) + CallSlack;
    m_questions[m_lastAsk] = {step, host, workers, cost, now + timeout};
    ++m_steps[step].pending;
    AdviceAsk ask{m_lastAsk, step, std::move(workers), timeout};
    if (host == m_self)
        out.add(std::move(ask));
    else
        out.send(host, std::move(ask));
}

void AdviceDesk::receive(Instant now, const AdviceTold &told)
{
    const auto found = m_questions.find(told.ask);
    if (found != m_questions.end())
        end(now, found, told);
}

void AdviceDesk::end(Instant now, std::map<AskId, Question>::iterator found, const AdviceTold &told)
{
    const Question question = std::move(found->second);
    m_questions.erase(found);
    const auto place = m_steps.find(question.step);
    if (place == m_steps.end())
        return;
    StepAdvice &advice = place->second;
    --advice.pending;
    if (!told.answered) {
        advice.nextAsk = now + RetryPause;
        return;
    }
    std::set<WorkerId> rest(question.workers.begin(), question.workers.end());
    for (const Ticket &ticket : told.good) {
        rest.erase(ticket.worker);
        advice.good[ticket.worker] = {ticket.ticket, now + told.validity};
    }
    advice.bad.insert(rest.begin(), rest.end());
}

void AdviceDesk::tick(Instant now)
{
    for (auto question = m_questions.begin(); question != m_questions.end();) {
        const auto here = question++;
        if (now >= here->second.givenUpAt)
            end(now, here, {here->first, false, {}, {}});
    }
}

const std::string *AdviceDesk::ticket(Instant now, const StepRef &step,
                                      const WorkerId &worker) const
{
    const auto found = m_steps.find(step);
    if (found == m_steps.end())
        return nullptr;
    const auto held = found->second.good.find(worker);
    if (held == found->second.good.end() || now + TicketMargin >= held->second.validUntil)
        return nullptr;
    return &held->second.ticket;
}

bool AdviceDesk::isBad(const StepRef &step, const WorkerId &worker) const
{
    const auto found = m_steps.find(step);
    return found != m_steps.end() && found->second.bad.contains(worker);
}

void AdviceDesk::drop(const StepRef &step, const WorkerId &worker)
{
    const auto found = m_steps.find(step);
    if (found != m_steps.end())
        found->second.good.erase(worker);
}

void AdviceDesk::forget(const JobId &job)
{
    auto step = m_steps.lower_bound({job, 0, 0});
    while (step != m_steps.end() && step->first.job == job)
        step = m_steps.erase(step);
}

} // namespace gentiancross
