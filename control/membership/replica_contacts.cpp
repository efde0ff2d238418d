#include "control/membership/replica_contacts.h"

namespace gentiancross {

void ReplicaContacts::beginTerm(Instant now)
{
    m_termBegan = now;
    m_replies.clear();
}

Instant ReplicaContacts::lastContact(const ReplicaId &replica) const
{
    const auto reply = m_replies.find(replica);
    return reply == m_replies.end() ? m_termBegan : reply->second;
}

} // namespace gentiancross
