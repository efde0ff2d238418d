#include "control/jobs/order_dispatcher.h"

#include <functional>
#include <utility>

namespace gentiancross {

namespace {

/** Keepers answer the log's heartbeat every 150 ms; after four missed ones their workers are given
 * to others, well within a lease. */
constexpr Milliseconds KeeperSilence{600};
/** Keepers introduce themselves twice a second. An older clock would be off by more than a
 * millisecond by drift alone. */
constexpr Milliseconds ClockAge{2000};
/** A keeper that takes a snapshot in, or has no processor time, needs about so long. */
constexpr Milliseconds SlowKeeperPause{2000};
/** What passing an answer back may take beyond the order's validity and its call. */
constexpr Milliseconds RelaySlack{300};

/** Rendezvous hashing: a keeper that comes or goes moves only its own workers. */
std::size_t weightOf(const HostId &keeper, const WorkerId &worker)
{
    return std::hash<std::string>()(keeper.value() + '/' + worker.value());
}

} // namespace

void OrderDispatcher::recordIntroduction(Instant now, const HostId &keeper,
                                         const LeaderQuery &introduction)
{
    Keeper &known = m_keepers[keeper];
    known.session = introduction.session;
    known.clock = introduction.sentAt;
    known.clockAt = now;
    known.lastHeard = now;
    known.heartbeatAddress = introduction.heartbeatAddress;
}

std::string OrderDispatcher::nextHeartbeatAddress(Instant now)
{
    auto next = m_keepers.upper_bound(m_lastBeatHost);
    for (std::size_t tries = 0; tries < m_keepers.size(); ++tries) {
        if (next == m_keepers.end())
            next = m_keepers.begin();
        const auto &[host, keeper] = *next++;
        if (host == m_self || !isPresent(now, keeper) || keeper.heartbeatAddress.empty())
            continue;
        m_lastBeatHost = host;
        return keeper.heartbeatAddress;
    }
    return {};
}

void OrderDispatcher::recordContact(Instant now, const HostId &keeper)
{
    const auto found = m_keepers.find(keeper);
    if (found != m_keepers.end())
        found->second.lastHeard = now;
}

bool OrderDispatcher::isPresent(Instant now, const Keeper &keeper) const
{
    return now - keeper.lastHeard < KeeperSilence && now - keeper.clockAt < ClockAge;
}

bool OrderDispatcher::answered(Instant now, const WorkerAnswer &answer)
{
    const auto open = m_open.find(answer.call);
    if (open == m_open.end())
        return false;
    const auto keeper = m_keepers.find(open->second.keeper);
    if (answer.verdict == WorkerVerdict::NotSent && keeper != m_keepers.end())
        keeper->second.avoidUntil = now + SlowKeeperPause;
    m_open.erase(open);
    return true;
}

std::optional<HostId> OrderDispatcher::keeperFor(Instant now, const WorkerId &worker) const
{
    std::optional<HostId> best;
    std::pair<bool, std::size_t> bestWeight;
    for (const auto &[host, keeper] : m_keepers) {
        const std::pair weight(m_preferred.contains(host), weightOf(host, worker));
        const bool isUsable = host != m_self && isPresent(now, keeper) && now >= keeper.avoidUntil;
        if (!isUsable || (best.has_value() && weight <= bestWeight))
            continue;
        best = host;
        bestWeight = weight;
    }
    return best;
}

void OrderDispatcher::dispatch(Instant now, Effects &effects)
{
    std::map<HostId, WorkerOrders> batches;
    Effects rest;
    for (Effect &effect : effects) {
        auto *const call = std::get_if<CallWorker>(&effect);
        const std::optional<HostId> host
                = call == nullptr ? std::nullopt : keeperFor(now, call->incarnation.worker);
        if (!host.has_value()) {
            rest.push_back(std::move(effect));
            continue;
        }
        const Keeper &keeper = m_keepers.at(*host);
        const Instant until = call->validUntil + call->timeout + RelaySlack;
        m_open.emplace(call->call, Open{*host, keeper.session, until});
        // The keeper's clock showed `clock` before `clockAt` came to pass here, so this is early.
        call->validUntil = keeper.clock + (call->validUntil - keeper.clockAt);
        batches[*host].session = keeper.session;
        batches[*host].calls.push_back(std::move(*call));
    }
    for (auto &[host, orders] : batches)
        rest.emplace_back(SendToPeer{host, std::move(orders), 0});
    effects = std::move(rest);
}

std::vector<CallId> OrderDispatcher::takeOverdue(Instant now)
{
    std::vector<CallId> overdue;
    for (auto open = m_open.begin(); open != m_open.end();) {
        const auto keeper = m_keepers.find(open->second.keeper);
        const bool isGone = keeper == m_keepers.end() || !isPresent(now, keeper->second)
                || keeper->second.session != open->second.session;
        if (!isGone && now < open->second.deadline) {
            ++open;
            continue;
        }
        overdue.push_back(open->first);
        open = m_open.erase(open);
    }
    return overdue;
}

} // namespace gentiancross
