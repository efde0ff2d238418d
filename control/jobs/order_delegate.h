#pragma once

#include "control/outbox.h"

#include <set>
#include <utility>

namespace gentiancross {

/**
 * Sends orders to workers on behalf of the leader, and returns their answers to it in batches. The
 * counterpart of OrderDispatcher on the other keepers. Thread safety: owned by the control thread.
 */
class OrderDelegate
{
public:
    explicit OrderDelegate(SessionId self)
        : m_self(std::move(self))
    {}

    /** Executes a leader's orders. Orders of a former leader, for a former process at this address,
     * or that were received before are dropped. */
    void receive(const HostId &from, const WorkerOrders &orders, Outbox &out);
    /** Adds a worker's answer to one of these orders to the batch. */
    void receive(Instant now, const WorkerAnswer &answer, Outbox &out);
    /** Sends the collected answers to the leader. */
    void flush(Instant now, Outbox &out);

private:
    /** Records the call; false if it was received before. */
    bool recordNew(CallId call);

    SessionId m_self;
    HostId m_leader;
    Fence m_fence;
    /** The newest calls of the leader with `m_fence`. */
    std::set<CallId> m_received;
    WorkerAnswers m_collected;
    Instant m_lastFlush;
};

} // namespace gentiancross
