#include "control/jobs/advice_coordinator.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace gentiancross {

namespace {

/** Hosts report twice a second; after three missed reports a host gets no more queries. */
constexpr Milliseconds MaxReportAge{1600};
/** Time for one commit and one round trip: an order must reach its worker while the ticket is
 * valid. */
constexpr Milliseconds TicketMargin{250};
/** Time for an order's way to its worker through another keeper. */
constexpr Milliseconds OrderTransitMargin{100};
/** Allowance for round trips and scheduling delays on top of the adviser's own time. After that
 * the query can go to another host. */
constexpr Milliseconds CallTimeMargin{250};
/** How long a host that gave no answer is ranked behind the others. */
constexpr Milliseconds SilentHostCooldown{1500};
/** Queries that take the adviser at least this long must leave hosts free for short ones. */
constexpr std::int64_t LongDecisionMicroseconds = 100'000;
constexpr std::size_t HostsForShortQueries = 3;
/** Delay before a step is queried again after a query without an answer. */
constexpr Milliseconds RetryDelay{20};
constexpr std::int64_t MicrosecondsPerMillisecond = 1000;

} // namespace

AdviceCoordinator::AdviceCoordinator(HostId self, AdviceRequestId last)
    : m_self(std::move(self))
    , m_lastQuery(last)
{}

void AdviceCoordinator::recordHostSeen(Instant now, const HostId &host)
{
    Caller &caller = m_hosts[host];
    caller.lastSeen = std::max(caller.lastSeen, now);
}

bool AdviceCoordinator::canQuery(Instant now, const StepRef &step, const AdviceTerms &terms) const
{
    const auto found = m_steps.find(step);
    if (found != m_steps.end() && (found->second.pending > 0 || now < found->second.nextQuery))
        return false;
    if (terms.baseMicroseconds < LongDecisionMicroseconds)
        return true;
    const HostCount hosts = countHosts(now);
    return hosts.present <= HostsForShortQueries || hosts.free > HostsForShortQueries;
}

bool AdviceCoordinator::hasSpareHosts(Instant now) const
{
    const HostCount hosts = countHosts(now);
    return hosts.free * 2 > hosts.present;
}

AdviceCoordinator::HostCount AdviceCoordinator::countHosts(Instant now) const
{
    HostCount hosts;
    for (const auto &[host, caller] : m_hosts) {
        if (host != m_self && now - caller.lastSeen > MaxReportAge)
            continue;
        ++hosts.present;
        hosts.free += caller.availableAt <= now ? 1 : 0;
    }
    return hosts;
}

bool AdviceCoordinator::isQuerying(const StepRef &step) const
{
    const auto found = m_steps.find(step);
    return found != m_steps.end() && found->second.pending > 0;
}

HostId AdviceCoordinator::chooseHost(Instant now)
{
    HostId best = m_self;
    Instant bestFree = std::max(now, m_hosts[m_self].availableAt);
    for (const auto &[host, caller] : m_hosts) {
        if (host == m_self || now - caller.lastSeen > MaxReportAge)
            continue;
        const Instant free = std::max(now, caller.availableAt);
        // The leader's own host carries the highest load, so other hosts are preferred.
        if (free < bestFree || (free == bestFree && best == m_self)) {
            best = host;
            bestFree = free;
        }
    }
    return best;
}

void AdviceCoordinator::query(Instant now, const StepRef &step, const AdviceTerms &terms,
                              std::vector<WorkerId> workers, Outbox &out)
{
    const HostId host = chooseHost(now);
    const std::int64_t micros = terms.baseMicroseconds
            + terms.perWorkerMicroseconds * static_cast<std::int64_t>(workers.size());
    const Milliseconds cost(micros / MicrosecondsPerMillisecond + 1);
    Caller &caller = m_hosts[host];
    caller.availableAt = std::max(now, caller.availableAt) + cost;
    m_lastQuery = m_lastQuery.next();
    const Milliseconds timeout = (caller.availableAt - now) + CallTimeMargin;
    m_queries[m_lastQuery] = {step, host, workers, now, now + timeout};
    ++m_steps[step].pending;
    AdviceRequest request{m_lastQuery, step, std::move(workers), timeout};
    if (host == m_self)
        out.add(std::move(request));
    else
        out.send(host, std::move(request));
}

void AdviceCoordinator::receive(Instant now, const AdviceResponse &response, Outbox &out)
{
    const auto found = m_queries.find(response.id);
    if (found != m_queries.end())
        finishQuery(now, found, response, out);
}

void AdviceCoordinator::finishQuery(Instant now, std::map<AdviceRequestId, Query>::iterator found,
                                    const AdviceResponse &response, Outbox &out)
{
    const Query query = std::move(found->second);
    m_queries.erase(found);
    out.add(LogLine{!response.answered, query.step.job.value(),
                    absl::StrCat(response.answered ? "advice" : "no advice",
                                 ": step=", query.step.step, " host=", query.host.value(),
                                 " asked=", query.workers.size(), " good=", response.good.size(),
                                 " took_ms=", (now - query.askedAt).value())});
    const auto advised = m_steps.find(query.step);
    if (advised == m_steps.end())
        return;
    StepAdvice &advice = advised->second;
    --advice.pending;
    if (!response.answered) {
        advice.nextQuery = now + RetryDelay;
        m_hosts[query.host].availableAt = now + SilentHostCooldown;
        return;
    }
    std::set<WorkerId> rest(query.workers.begin(), query.workers.end());
    for (const Ticket &ticket : response.good) {
        rest.erase(ticket.worker);
        advice.tickets[ticket.worker] = {ticket.ticket, now + response.validity};
    }
    advice.unsuitable.insert(rest.begin(), rest.end());
}

void AdviceCoordinator::tick(Instant now, Outbox &out)
{
    for (auto query = m_queries.begin(); query != m_queries.end();) {
        const auto current = query++;
        if (now >= current->second.deadline)
            finishQuery(now, current, {current->first, false, {}, {}}, out);
    }
}

Advice AdviceCoordinator::adviceFor(Instant now, const StepRef &step) const
{
    const auto found = m_steps.find(step);
    return {now, found == m_steps.end() ? nullptr : &found->second};
}

const StepAdvice::HeldTicket *Advice::find(const WorkerId &worker) const
{
    if (m_advice == nullptr)
        return nullptr;
    const auto held = m_advice->tickets.find(worker);
    return held == m_advice->tickets.end() ? nullptr : &held->second;
}

const std::string *Advice::ticket(const WorkerId &worker) const
{
    const StepAdvice::HeldTicket *const held = find(worker);
    return held != nullptr && isValid(*held) ? &held->ticket : nullptr;
}

const std::string *Advice::ticketToSend(const WorkerId &worker) const
{
    const StepAdvice::HeldTicket *const held = find(worker);
    const bool arrivesInTime = held != nullptr && m_now + OrderTransitMargin < held->validUntil;
    return arrivesInTime ? &held->ticket : nullptr;
}

bool Advice::isValid(const StepAdvice::HeldTicket &held) const
{
    return m_now + TicketMargin < held.validUntil;
}

bool Advice::isUnsuitable(const WorkerId &worker) const
{
    return m_advice != nullptr && m_advice->unsuitable.contains(worker);
}

void AdviceCoordinator::dropTicket(const StepRef &step, const WorkerId &worker)
{
    const auto found = m_steps.find(step);
    if (found != m_steps.end())
        found->second.tickets.erase(worker);
}

void AdviceCoordinator::forgetJob(const JobId &job)
{
    auto step = m_steps.lower_bound({job, 0, 0});
    while (step != m_steps.end() && step->first.job == job)
        step = m_steps.erase(step);
}

} // namespace gentiancross
