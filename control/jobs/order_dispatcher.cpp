#include "control/jobs/order_dispatcher.h"

#include <functional>
#include <utility>

namespace gentiancross {

namespace {

/** Keepers answer the log's heartbeat every 150 ms. After four missed answers their workers are
 * reassigned, well within a lease. */
constexpr Milliseconds MaxKeeperSilence{600};
/** Keepers send a LeaderQuery twice a second. A clock reading older than this would be off by
 * more than a millisecond by drift alone. */
constexpr Milliseconds MaxClockAge{2000};
/** About how long a keeper that installs a snapshot or lacks processor time needs to recover. */
constexpr Milliseconds SlowKeeperCooldown{2000};
/** Time allowed for returning an answer, on top of the order's validity and call time-out. */
constexpr Milliseconds RelayTimeMargin{300};

/** Rendezvous hashing: when a keeper joins or leaves, only its own workers are reassigned. */
std::size_t weightOf(const HostId &keeper, const WorkerId &worker)
{
    return std::hash<std::string>()(keeper.value() + '/' + worker.value());
}

} // namespace

void OrderDispatcher::recordQuery(Instant now, const HostId &keeper, const LeaderQuery &query)
{
    Keeper &known = m_keepers[keeper];
    known.session = query.session;
    known.clock = query.sentAt;
    known.clockAt = now;
    known.lastHeard = now;
    known.heartbeatAddress = query.heartbeatAddress;
}

std::string OrderDispatcher::nextHeartbeatAddress(Instant now)
{
    auto next = m_keepers.upper_bound(m_lastHeartbeatHost);
    for (std::size_t tries = 0; tries < m_keepers.size(); ++tries) {
        if (next == m_keepers.end())
            next = m_keepers.begin();
        const auto &[host, keeper] = *next++;
        if (host == m_self || !isPresent(now, keeper) || keeper.heartbeatAddress.empty())
            continue;
        m_lastHeartbeatHost = host;
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
    return now - keeper.lastHeard < MaxKeeperSilence && now - keeper.clockAt < MaxClockAge;
}

bool OrderDispatcher::acceptAnswer(Instant now, const WorkerAnswer &answer)
{
    const auto order = m_inFlight.find(answer.call);
    if (order == m_inFlight.end())
        return false;
    const auto keeper = m_keepers.find(order->second.keeper);
    if (answer.verdict == WorkerVerdict::NotSent && keeper != m_keepers.end())
        keeper->second.avoidUntil = now + SlowKeeperCooldown;
    m_inFlight.erase(order);
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
        const Instant until = call->validUntil + call->timeout + RelayTimeMargin;
        m_inFlight.emplace(call->call, OrderInFlight{*host, keeper.session, until});
        // The keeper's clock read `clock` before `clockAt` on this host, so the converted validity
        // never ends later than the original one.
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
    for (auto order = m_inFlight.begin(); order != m_inFlight.end();) {
        const auto keeper = m_keepers.find(order->second.keeper);
        const bool isGone = keeper == m_keepers.end() || !isPresent(now, keeper->second)
                || keeper->second.session != order->second.session;
        if (!isGone && now < order->second.deadline) {
            ++order;
            continue;
        }
        overdue.push_back(order->first);
        order = m_inFlight.erase(order);
    }
    return overdue;
}

} // namespace gentiancross
