#pragma once

#include "control/outbox.h"
#include "core/ids.h"

#include <deque>

namespace gentiancross {

/**
 * How far the log in memory is held by the own disk. On a host without one, which persists nothing,
 * all that is stored counts as held. Thread safety: owned by the control thread.
 */
class DurableIndexTracker
{
public:
    explicit DurableIndexTracker(bool hasStore)
        : m_hasStore(hasStore)
    {}

    [[nodiscard]] LogIndex index() const { return m_index; }
    /** All entries up to this one are held, and none after it is under way. */
    void restart(LogIndex index);
    /** The entry was handed to the disk with \a token. */
    void stored(SyncToken token, LogIndex index);
    void synced(SyncToken token);
    /** The entries from this one on are gone; \a last is the last one left. */
    void truncated(LogIndex from, LogIndex last);

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
