#pragma once

#include "core/ids.h"
#include "drivers/connection_limits.h"
#include "drivers/eviction_policy.h"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace gentiancross {

using ConnectionId = NumberId<struct ConnectionTag>;

/** Why a connection was closed or a request refused. */
enum class Rejection { Memory, Connections, ClientConnections, RequestTime, BodySize, Secret };
inline constexpr std::size_t RejectionReasons = 6;
/** The reason's name in metrics and log lines. */
const char *rejectionName(Rejection reason);

/** A connection that ConnectionBudget can close. */
class ClosableConnection
{
public:
    ClosableConnection() = default;
    ClosableConnection(const ClosableConnection &) = delete;
    ClosableConnection &operator=(const ClosableConnection &) = delete;
    virtual ~ClosableConnection() = default;

    /** Makes the connection's owner close it soon. Called from any thread with the budget's lock
     * held; must not block or call the budget. */
    virtual void abort() = 0;
};

/** Sums over all connections of a process. */
struct ConnectionTotals
{
    std::size_t bytes = 0;
    std::size_t connections = 0;
    std::array<std::uint64_t, RejectionReasons> rejected = {};
};

/**
 * Keeps account of what the incoming connections of a process hold, and closes connections in the
 * order of an EvictionPolicy if a limit is exceeded. Shared by all HttpListeners of the process.
 * Contains no network calls and reads no clock. Thread safety: all methods may be called from any
 * thread.
 */
class ConnectionBudget
{
public:
    explicit ConnectionBudget(ConnectionLimits limits,
                              std::unique_ptr<EvictionPolicy> policy
                              = std::make_unique<LongestHolderPolicy>());

    /** Adds a connection from the address \a client; may close others, or this one. \a connection
     * must outlive the call of remove(). */
    ConnectionId add(const std::string &client, ClosableConnection &connection, Instant now);
    void remove(ConnectionId id);
    /** Exempts the connection from being closed. */
    void trust(ConnectionId id);
    /** The connection's next phase begins. */
    void enter(ConnectionId id, ConnectionPhase phase, Instant now);
    /** Sets what the connection holds beyond its fixed cost. If that exceeds the limit, connections
     * are closed; returns false if this is one of them. */
    bool hold(ConnectionId id, std::size_t bytes, Instant now);
    /** Closes connections whose request or answer has taken longer than the limit. */
    void closeOverdue(Instant now);
    /** Counts a request that a listener refused. */
    void count(Rejection reason);

    [[nodiscard]] ConnectionTotals totals() const;
    [[nodiscard]] const ConnectionLimits &limits() const { return m_limits; }

private:
    struct Entry
    {
        std::string client;
        ClosableConnection *connection = nullptr;
        ConnectionUse use;
        /** True from the call of abort() to that of remove(). */
        bool isClosing = false;
    };

    struct Client
    {
        std::size_t connections = 0;
        std::size_t bytes = 0;
    };

    /** The entries that may be closed, the first to close first; of one client only, if it is not
     * empty. */
    std::vector<Entry *> candidates(Shortage shortage, const std::string &client, Instant now);
    void relieveMemory(Instant now);
    void relieveConnections(Instant now);
    void relieveClient(const std::string &client, Instant now);
    void close(Entry &entry, Rejection reason);
    void setBytes(Entry &entry, std::size_t bytes);

    const ConnectionLimits m_limits;
    const std::unique_ptr<EvictionPolicy> m_policy;
    mutable std::mutex m_mutex;
    ConnectionId m_lastId;
    std::unordered_map<ConnectionId, Entry> m_entries;
    /** Sums over entries that are not closing. */
    std::unordered_map<std::string, Client> m_clients;
    std::size_t m_bytes = 0;
    std::size_t m_open = 0;
    std::array<std::uint64_t, RejectionReasons> m_rejected = {};
};

} // namespace gentiancross
