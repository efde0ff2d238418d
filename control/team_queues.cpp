#include "control/team_queues.h"

namespace gentiancross {

QueueKey TeamQueues::add(const TeamId &team, const QueueItem &item, Precedence precedence)
{
    const QueueKey key{precedence, m_nextArrival++};
    m_queues[team].items.emplace(key, item);
    ++m_size;
    touch(team);
    return key;
}

void TeamQueues::remove(const TeamId &team, const QueueKey &key)
{
    const auto found = m_queues.find(team);
    if (found == m_queues.end())
        return;
    touch(team);
    m_size -= found->second.items.erase(key);
    if (found->second.items.empty())
        m_queues.erase(found);
}

std::size_t TeamQueues::sizeOf(const TeamId &team) const
{
    const auto found = m_queues.find(team);
    return found == m_queues.end() ? 0 : found->second.items.size();
}

} // namespace gentiancross
