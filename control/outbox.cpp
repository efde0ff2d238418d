#include "control/outbox.h"

namespace gentiancross {

void Outbox::sendAfterSync(const HostId &to, PeerMessage message)
{
    const SyncToken token = currentToken();
    if (token <= m_synced) {
        send(to, std::move(message));
        return;
    }
    m_deferred.push_back({token, SendToPeer{to, std::move(message), 0}});
}

void Outbox::persist(JournalRecord record)
{
    if (!m_hasStore)
        return;
    m_records.push_back(std::move(record));
    ++m_recordsSinceReplace;
}

void Outbox::replaceJournal(std::vector<JournalRecord> records)
{
    if (!m_hasStore)
        return;
    // Records persisted earlier in this event are part of the state the replacement is made from.
    m_records = std::move(records);
    m_replaceAll = true;
    m_recordsSinceReplace = 0;
}

void Outbox::reportMeasurements(Instant now)
{
    if (!m_measurements.empty())
        add(Measured{now, takeMeasurements()});
}

SyncToken Outbox::currentToken() const
{
    return m_records.empty() ? m_issued : m_issued.next();
}

void Outbox::synced(SyncToken token)
{
    m_synced = std::max(m_synced, token);
    while (!m_deferred.empty() && m_deferred.front().token <= m_synced) {
        add(std::move(m_deferred.front().message));
        m_deferred.pop_front();
    }
}

Effects Outbox::take()
{
    if (!m_records.empty()) {
        m_issued = m_issued.next();
        // The write comes first, so that other effects of this event can share its sync.
        m_effects.insert(m_effects.begin(), Persist{m_issued, m_replaceAll, std::move(m_records)});
        m_records.clear();
        m_replaceAll = false;
    }
    return std::exchange(m_effects, {});
}

} // namespace gentiancross
