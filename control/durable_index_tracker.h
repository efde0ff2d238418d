#pragma once

#include "control/outbox.h"
#include "core/ids.h"

#include <deque>

namespace gentiancross {

/**
 * Tracks up to which index the log in memory is durable on this host's disk, for RaftConsensus. On
 * a host without a disk, which persists nothing, every stored entry counts as durable. Thread
 * safety: owned by the control thread.
 */
class DurableIndexTracker
{
public:
    explicit DurableIndexTracker(bool hasStore)
        : m_hasStore(hasStore)
    {}

    [[nodiscard]] LogIndex index() const { return m_index; }
    /** Resets: all entries up to \a index are durable, and no write is pending. */
    void reset(LogIndex index);
    /** The entry was handed to the disk under \a token. */
    void onStored(SyncToken token, LogIndex index);
    void onSynced(SyncToken token);
    /** The entries from \a from on were removed; \a last is the last remaining one. */
    void onTruncated(LogIndex from, LogIndex last);

private:
    struct Unsynced
    {
        SyncToken token;
        LogIndex index;
    };

    bool m_hasStore;
    std::deque<Unsynced> m_unsynced;
    LogIndex m_index;
};

} // namespace gentiancross
