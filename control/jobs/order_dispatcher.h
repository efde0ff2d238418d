#pragma once

#include "core/effects.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace gentiancross {

/**
 * Distributes a leader's orders to workers over the other keepers, which send them and return the
 * answers. Each worker is assigned to one keeper, so that connections are reused. The leader sends
 * the orders that no other keeper can send. An order's validity is given on the keeper's clock, so
 * that a keeper that was paused does not send it too late. Thread safety: owned by the control
 * thread.
 */
class OrderDispatcher
{
public:
    explicit OrderDispatcher(HostId self)
        : m_self(std::move(self))
    {}

    /** Records a keeper's process, clock and heartbeat address from its LeaderQuery. */
    void recordQuery(Instant now, const HostId &keeper, const LeaderQuery &query);
    /** Sets the keepers that receive the log's entries at once, so that orders and answers share
     * messages with these. Other keepers send orders only while none of these can. */
    void setPreferred(std::set<HostId> keepers) { m_preferred = std::move(keepers); }
    /** Records that a message from the keeper has arrived. */
    void recordContact(Instant now, const HostId &keeper);

    /** Replaces the orders in \a effects by messages to the keepers that will send them. */
    void dispatch(Instant now, Effects &effects);
    /** Accepts an answer that a keeper has forwarded; false if it came too late. A keeper that
     * returns an order unsent is overloaded or late, and gets no orders for a while. */
    bool acceptAnswer(Instant now, const WorkerAnswer &answer);
    /** Removes and returns the orders that have passed their deadline, or whose keeper is silent or
     * has been restarted. */
    std::vector<CallId> takeOverdue(Instant now);
    /** Drops all orders in flight when the host no longer leads. */
    void clear() { m_inFlight.clear(); }

    /** The address for a worker's heartbeats: the keepers in round robin; empty if none is
     * available. */
    [[nodiscard]] std::string nextHeartbeatAddress(Instant now);

private:
    struct Keeper
    {
        SessionId session;
        /** The keeper's clock when it sent its LeaderQuery, and this host's clock on arrival. */
        Instant clock;
        Instant clockAt;
        Instant lastHeard;
        std::string heartbeatAddress;
        Instant avoidUntil;
    };

    struct OrderInFlight
    {
        HostId keeper;
        /** The keeper's process that received the order; a restarted one does not have it. */
        SessionId session;
        Instant deadline;
    };

    [[nodiscard]] bool isPresent(Instant now, const Keeper &keeper) const;
    [[nodiscard]] std::optional<HostId> keeperFor(Instant now, const WorkerId &worker) const;

    HostId m_self;
    std::map<HostId, Keeper> m_keepers;
    std::set<HostId> m_preferred;
    std::map<CallId, OrderInFlight> m_inFlight;
    /** The keeper whose address was returned last. */
    HostId m_lastHeartbeatHost;
};

} // namespace gentiancross
