#pragma once

#include "core/units.h"

#include <cstddef>

namespace gentiancross {

/** What a connection is doing; each request passes through all phases in this order. */
enum class ConnectionPhase { Idle, Receiving, Deciding, Answering };

/** What a process is short of. */
enum class Shortage { Memory, Connections };

/** What one connection uses. */
struct ConnectionUse
{
    ConnectionPhase phase = ConnectionPhase::Idle;
    /** When the phase began. */
    Instant since;
    /** Held beyond the fixed cost of a connection. */
    std::size_t bytes = 0;
    /** Held by all connections from the same IP address, beyond their fixed cost. */
    std::size_t clientBytes = 0;
    /** True if an earlier request on this connection was answered completely. */
    bool wasServed = false;
    /** True for the process's own peers. */
    bool isTrusted = false;
};

/** Decides which connections are closed first if a process is short of memory or connections.
 * Thread safety: reentrant. */
class EvictionPolicy
{
public:
    EvictionPolicy() = default;
    EvictionPolicy(const EvictionPolicy &) = delete;
    EvictionPolicy &operator=(const EvictionPolicy &) = delete;
    virtual ~EvictionPolicy() = default;

    /** Connections of the largest weight are closed first; those of weight 0 are never closed. */
    [[nodiscard]] virtual double weight(const ConnectionUse &use, Shortage shortage,
                                        Instant now) const = 0;
};

/**
 * Closes what holds most for longest. Requests that were handed on are never closed, since a caller
 * could not tell whether they have run.
 */
class LongestHolderPolicy final : public EvictionPolicy
{
public:
    [[nodiscard]] double weight(const ConnectionUse &use, Shortage shortage,
                                Instant now) const override;
};

} // namespace gentiancross
