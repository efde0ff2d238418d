#include "control/jobs/advice_coordinator.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace gentiancross {

namespace {

/** Hosts report twice a second; three missed reports and a host is not asked any more. */
constexpr Milliseconds HostAge{1600};
/** An order must reach its worker while the ticket is valid: one commit and one round trip. */
constexpr Milliseconds TicketMargin{250};
/** What a call may take beyond the adviser's own time: round trips and a late turn of a host. After
 * that another host is asked. */
constexpr Milliseconds CallSlack{250};
/** A host that gave no answer is asked last for a while. */
constexpr Milliseconds SilentPause{1500};
/** Questions whose answer takes longer than this, in microseconds, must leave hosts free. */
constexpr std::int64_t LongDecision = 100'000;
constexpr std::size_t HostsForShort = 3;
/** After a question without an answer the adviser is left alone for this long. */
constexpr Milliseconds RetryPause{20};
constexpr std::int64_t MicrosecondsPerMillisecond = 1000;

} // namespace

AdviceCoordinator::AdviceCoordinator(HostId self, AdviceRequestId last)
    : m_self(std::move(self))
    , m_lastAsk(last)
{}

void AdviceCoordinator::recordHostSeen(Instant now, const HostId &host)
{
    Caller &caller = m_hosts[host];
    caller.lastSeen = std::max(caller.lastSeen, now);
}

bool AdviceCoordinator::canQuery(Instant now, const StepRef &step, const AdviceTerms &terms) const
{
    const auto found = m_steps.find(step);
    if (found != m_steps.end() && (found->second.pending > 0 || now < found->second.nextAsk))
        return false;
    if (terms.baseMicroseconds < LongDecision)
        return true;
    std::size_t present = 0;
    std::size_t free = 0;
    for (const auto &[host, caller] : m_hosts) {
        if (host != m_self && now - caller.lastSeen > HostAge)
            continue;
        ++present;
        free += caller.freeAt <= now ? 1 : 0;
    }
    return present <= HostsForShort || free > HostsForShort;
}

HostId AdviceCoordinator::chooseHost(Instant now)
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

void AdviceCoordinator::ask(Instant now, const StepRef &step, const AdviceTerms &terms,
                            std::vector<WorkerId> workers, Outbox &out)
{
    const HostId host = chooseHost(now);
    const std::int64_t micros = terms.baseMicroseconds
            + terms.perWorkerMicroseconds * static_cast<std::int64_t>(workers.size());
    const Milliseconds cost(micros / MicrosecondsPerMillisecond + 1);
    Caller &caller = m_hosts[host];
    caller.freeAt = std::max(now, caller.freeAt) + cost;
    m_lastAsk = m_lastAsk.next();
    const Milliseconds timeout = (caller.freeAt - now) + CallSlack;
    m_questions[m_lastAsk] = {step, host, workers, now, now + timeout};
    ++m_steps[step].pending;
    AdviceRequest ask{m_lastAsk, step, std::move(workers), timeout};
    if (host == m_self)
        out.add(std::move(ask));
    else
        out.send(host, std::move(ask));
}

void AdviceCoordinator::receive(Instant now, const AdviceResponse &told, Outbox &out)
{
    const auto found = m_questions.find(told.id);
    if (found != m_questions.end())
        end(now, found, told, out);
}

void AdviceCoordinator::end(Instant now, std::map<AdviceRequestId, Question>::iterator found,
                            const AdviceResponse &told, Outbox &out)
{
    const Question question = std::move(found->second);
    m_questions.erase(found);
    out.add(LogLine{!told.answered, question.step.job.value(),
                    absl::StrCat(told.answered ? "advice" : "no advice",
                                 ": step=", question.step.step, " host=", question.host.value(),
                                 " asked=", question.workers.size(), " good=", told.good.size(),
                                 " took_ms=", (now - question.askedAt).value())});
    const auto place = m_steps.find(question.step);
    if (place == m_steps.end())
        return;
    StepAdvice &advice = place->second;
    --advice.pending;
    if (!told.answered) {
        advice.nextAsk = now + RetryPause;
        m_hosts[question.host].freeAt = now + SilentPause;
        return;
    }
    std::set<WorkerId> rest(question.workers.begin(), question.workers.end());
    for (const Ticket &ticket : told.good) {
        rest.erase(ticket.worker);
        advice.good[ticket.worker] = {ticket.ticket, now + told.validity};
    }
    advice.bad.insert(rest.begin(), rest.end());
}

void AdviceCoordinator::tick(Instant now, Outbox &out)
{
    for (auto question = m_questions.begin(); question != m_questions.end();) {
        const auto here = question++;
        if (now >= here->second.givenUpAt)
            end(now, here, {here->first, false, {}, {}}, out);
    }
}

Advice AdviceCoordinator::adviceFor(Instant now, const StepRef &step) const
{
    const auto found = m_steps.find(step);
    return {now, found == m_steps.end() ? nullptr : &found->second};
}

const std::string *Advice::ticket(const WorkerId &worker) const
{
    if (m_advice == nullptr)
        return nullptr;
    const auto held = m_advice->good.find(worker);
    return held != m_advice->good.end() && isValid(held->second) ? &held->second.ticket : nullptr;
}

bool Advice::isValid(const StepAdvice::Held &held) const
{
    return m_now + TicketMargin < held.validUntil;
}

bool Advice::isBad(const WorkerId &worker) const
{
    return m_advice != nullptr && m_advice->bad.contains(worker);
}

void AdviceCoordinator::drop(const StepRef &step, const WorkerId &worker)
{
    const auto found = m_steps.find(step);
    if (found != m_steps.end())
        found->second.good.erase(worker);
}

void AdviceCoordinator::forget(const JobId &job)
{
    auto step = m_steps.lower_bound({job, 0, 0});
    while (step != m_steps.end() && step->first.job == job)
        step = m_steps.erase(step);
}

} // namespace gentiancross
