#include "control/membership_bootstrap.h"

namespace gentiancross {

namespace {

constexpr Milliseconds HelloInterval{500};

} // namespace

MembershipBootstrap::MembershipBootstrap(const HostDirectory &directory, ReplicaId replica)
    : m_directory(directory)
    , m_replica(std::move(replica))
{}

Hello MembershipBootstrap::own() const
{
    return {m_replica, m_directory.own().hasStore, m_fresh};
}

std::optional<Membership> MembershipBootstrap::tick(Instant now, Outbox &out)
{
    if (now < m_nextHello)
        return std::nullopt;
    m_nextHello = now + HelloInterval;
    m_hellos[m_directory.self] = own();
    for (const auto &[host, info] : m_directory.hosts) {
        if (host != m_directory.self)
            out.send(host, own());
    }
    Membership first;
    for (const HostId &host : m_directory.initialVoters) {
        const auto hello = m_hellos.find(host);
        // A store that has held a log before means that there is one; a lost disk must learn it.
        if (hello == m_hellos.end() || !hello->second.fresh)
            return std::nullopt;
        first.voters.insert(hello->second.replica);
    }
    if (!first.voters.contains(m_replica))
        return std::nullopt;
    return first;
}

void MembershipBootstrap::receive(const HostId &from, const Hello &message, bool isFounded,
                                  Outbox &out)
{
    const bool isNews = !m_hellos.contains(from) || m_hellos[from].replica != message.replica;
    m_hellos[from] = message;
    // A host that started first may have missed the first greeting of this one.
    if (isNews && !isFounded)
        out.send(from, own());
}

} // namespace gentiancross
