#include "control/durable_index_tracker.h"

#include <algorithm>

namespace gentiancross {

void DurableIndexTracker::restart(LogIndex index)
{
    m_unsynced.clear();
    m_index = index;
}

void DurableIndexTracker::stored(SyncToken token, LogIndex index)
{
    if (m_hasStore)
        m_unsynced.push_back({token, index});
    else
        m_index = index;
}

void DurableIndexTracker::synced(SyncToken token)
{
    while (!m_unsynced.empty() && m_unsynced.front().token <= token) {
        m_index = std::max(m_index, m_unsynced.front().index);
        m_unsynced.pop_front();
    }
}

void DurableIndexTracker::truncated(LogIndex from, LogIndex last)
{
    m_index = std::min(m_index, last);
    std::erase_if(m_unsynced, [&](const Unsynced &unsynced) { return unsynced.index >= from; });
}

} // namespace gentiancross
