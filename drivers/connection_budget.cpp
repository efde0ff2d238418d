#include "drivers/connection_budget.h"

#include <algorithm>
#include <utility>

namespace gentiancross {

namespace {

/** Room for this part of a limit is made at once, so that a crowd of new connections does not cause
 * a search for each of them. */
constexpr std::size_t ReliefDivisor = 32;

constexpr std::array<const char *, RejectionReasons> ReasonNames
        = {"memory", "connections", "client_connections", "request_time", "body_size", "secret"};

constexpr std::size_t relievedLevel(std::size_t limit)
{
    return limit - limit / ReliefDivisor;
}

} // namespace

const char *rejectionName(Rejection reason)
{
    return ReasonNames.at(static_cast<std::size_t>(reason));
}

ConnectionBudget::ConnectionBudget(ConnectionLimits limits, std::unique_ptr<EvictionPolicy> policy)
    : m_limits(limits)
    , m_policy(std::move(policy))
{}

ConnectionId ConnectionBudget::add(const std::string &client, ClosableConnection &connection,
                                   Instant now)
{
    const std::lock_guard lock(m_mutex);
    m_lastId = m_lastId.next();
    Entry &entry = m_entries[m_lastId];
    entry.client = client;
    entry.connection = &connection;
    entry.use.since = now;
    m_bytes += ConnectionBytes;
    ++m_open;
    if (++m_clients[client].connections > m_limits.connectionsPerClient)
        relieveClient(client, now);
    if (m_open > m_limits.connections)
        relieveConnections(now);
    if (m_bytes > m_limits.bytes)
        relieveMemory(now);
    return m_lastId;
}

void ConnectionBudget::remove(ConnectionId id)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return;
    Entry &entry = found->second;
    if (!entry.isClosing) {
        setBytes(entry, 0);
        m_bytes -= ConnectionBytes;
        --m_open;
        const auto client = m_clients.find(entry.client);
        if (--client->second.connections == 0)
            m_clients.erase(client);
    }
    m_entries.erase(found);
}

void ConnectionBudget::trust(ConnectionId id)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_entries.find(id);
    if (found != m_entries.end())
        found->second.use.isTrusted = true;
}

void ConnectionBudget::enter(ConnectionId id, ConnectionPhase phase, Instant now)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return;
    ConnectionUse &use = found->second.use;
    use.wasServed = use.wasServed
            || (use.phase == ConnectionPhase::Answering && phase == ConnectionPhase::Idle);
    use.phase = phase;
    use.since = now;
}

bool ConnectionBudget::hold(ConnectionId id, std::size_t bytes, Instant now)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_entries.find(id);
    if (found == m_entries.end() || found->second.isClosing)
        return false;
    const bool isMore = bytes > found->second.use.bytes;
    setBytes(found->second, bytes);
    if (isMore && m_bytes > m_limits.bytes)
        relieveMemory(now);
    return !found->second.isClosing;
}

void ConnectionBudget::setBytes(Entry &entry, std::size_t bytes)
{
    const std::size_t before = std::exchange(entry.use.bytes, bytes);
    std::size_t &clientBytes = m_clients[entry.client].bytes;
    clientBytes = clientBytes - before + bytes;
    m_bytes = m_bytes - before + bytes;
}

std::vector<ConnectionBudget::Entry *>
ConnectionBudget::candidates(Shortage shortage, const std::string &client, Instant now)
{
    std::vector<std::pair<double, Entry *>> weighted;
    for (auto &[id, entry] : m_entries) {
        if (entry.isClosing || (!client.empty() && entry.client != client))
            continue;
        entry.use.clientBytes = m_clients[entry.client].bytes;
        const double weight = m_policy->weight(entry.use, shortage, now);
        if (weight > 0)
            weighted.emplace_back(weight, &entry);
    }
    std::sort(weighted.begin(), weighted.end(),
              [](const auto &left, const auto &right) { return left.first > right.first; });
    std::vector<Entry *> sorted;
    sorted.reserve(weighted.size());
    for (const auto &[weight, entry] : weighted)
        sorted.push_back(entry);
    return sorted;
}

void ConnectionBudget::relieveMemory(Instant now)
{
    for (Entry *entry : candidates(Shortage::Memory, {}, now)) {
        if (m_bytes <= relievedLevel(m_limits.bytes))
            return;
        close(*entry, Rejection::Memory);
    }
}

void ConnectionBudget::relieveConnections(Instant now)
{
    for (Entry *entry : candidates(Shortage::Connections, {}, now)) {
        if (m_open <= relievedLevel(m_limits.connections))
            return;
        close(*entry, Rejection::Connections);
    }
}

void ConnectionBudget::relieveClient(const std::string &client, Instant now)
{
    for (Entry *entry : candidates(Shortage::Connections, client, now)) {
        const auto found = m_clients.find(client);
        if (found == m_clients.end()
            || found->second.connections <= relievedLevel(m_limits.connectionsPerClient))
            return;
        close(*entry, Rejection::ClientConnections);
    }
}

void ConnectionBudget::close(Entry &entry, Rejection reason)
{
    setBytes(entry, 0);
    m_bytes -= ConnectionBytes;
    --m_open;
    const auto client = m_clients.find(entry.client);
    if (--client->second.connections == 0)
        m_clients.erase(client);
    entry.isClosing = true;
    ++m_rejected.at(static_cast<std::size_t>(reason));
    entry.connection->abort();
}

void ConnectionBudget::closeOverdue(Instant now)
{
    const std::lock_guard lock(m_mutex);
    for (auto &[id, entry] : m_entries) {
        const bool isExempt = entry.use.phase == ConnectionPhase::Deciding
                || (entry.use.phase == ConnectionPhase::Idle && entry.use.isTrusted);
        if (!entry.isClosing && !isExempt && now - entry.use.since > m_limits.requestTime)
            close(entry, Rejection::RequestTime);
    }
}

void ConnectionBudget::count(Rejection reason)
{
    const std::lock_guard lock(m_mutex);
    ++m_rejected.at(static_cast<std::size_t>(reason));
}

ConnectionTotals ConnectionBudget::totals() const
{
    const std::lock_guard lock(m_mutex);
    return {m_bytes, m_open, m_rejected};
}

} // namespace gentiancross
