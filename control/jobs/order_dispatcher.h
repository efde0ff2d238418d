#pragma once

#include "core/effects.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace gentiancross {

/**
 * Spreads a leader's orders to workers over the other keepers, which send them and pass the answers
 * back; each worker has one keeper, so that connections are kept. The leader sends what no other
 * keeper can. An order's validity is told on the keeper's own clock, so that a keeper that was
 * paused does not send it later. Thread safety: owned by the control thread.
 */
class OrderDispatcher
{
public:
    explicit OrderDispatcher(HostId self)
        : m_self(std::move(self))
    {}

    /** A keeper has said which process it is and what its clock shows. */
    void recordIntroduction(Instant now, const HostId &keeper, const LeaderQuery &introduction);
    /** Keepers that get the log's entries as they come, so that orders and answers share messages
     * with these. Others send orders only while none of these can. */
    void setPreferred(std::set<HostId> keepers) { m_preferred = std::move(keepers); }
    /** Any message of the keeper has come. */
    void recordContact(Instant now, const HostId &keeper);

    /** Replaces orders among \a effects by messages to the keepers that are to send them. */
    void dispatch(Instant now, Effects &effects);
    /** Takes an answer in that a keeper has passed on. False if it came too late to count. A keeper
     * that returns an order unsent is slow to hear or to act, and gets no more for a while. */
    bool answered(Instant now, const WorkerAnswer &answer);
    /** The orders whose keepers have said nothing for too long, or are other processes now; each is
     * returned once. */
    std::vector<CallId> takeOverdue(Instant now);
    /** Forgets all orders under way; the host does not lead any more. */
    void clear() { m_open.clear(); }

    /** Where a worker is best to send its heartbeats: the keepers in turn; empty if there is none.
     */
    [[nodiscard]] std::string nextHeartbeatAddress(Instant now);

private:
    struct Keeper
    {
        SessionId session;
        /** The keeper's clock when it introduced itself, and this host's when that came. */
        Instant clock;
        Instant clockAt;
        Instant lastHeard;
        std::string heartbeatAddress;
        Instant avoidUntil;
    };

    struct Open
    {
        HostId keeper;
        /** The keeper's process that got it; the next one knows nothing of it. */
        SessionId session;
        Instant deadline;
    };

    [[nodiscard]] bool isPresent(Instant now, const Keeper &keeper) const;
    [[nodiscard]] std::optional<HostId> keeperFor(Instant now, const WorkerId &worker) const;

    HostId m_self;
    std::map<HostId, Keeper> m_keepers;
    std::set<HostId> m_preferred;
    std::map<CallId, Open> m_open;
    /** Whose address was given out last. */
    HostId m_lastBeatHost;
};

} // namespace gentiancross
