#include "control/membership_bootstrap.h"

namespace gentiancross {

namespace {

constexpr Milliseconds HelloInterval{500};

} // namespace

MembershipBootstrap::MembershipBootstrap(const HostDirectory &directory, ReplicaId replica)
    : m_directory(directory)
    , m_replica(std::move(replica))
{}

Hello MembershipBootstrap::makeHello() const
{
    return {m_replica, m_directory.own().hasStore, m_fresh};
}

std::optional<Membership> MembershipBootstrap::tick(Instant now, Outbox &out)
{
    if (now < m_nextHelloAt)
        return std::nullopt;
    m_nextHelloAt = now + HelloInterval;
    m_hellos[m_directory.self] = makeHello();
    for (const auto &[host, info] : m_directory.hosts) {
        if (host != m_directory.self)
            out.send(host, makeHello());
    }
    Membership first;
    for (const HostId &host : m_directory.initialVoters) {
        const auto hello = m_hellos.find(host);
        // A store that is not fresh shows that a log exists already; a host with a lost disk must
        // receive that one.
        if (hello == m_hellos.end() || !hello->second.fresh)
            return std::nullopt;
        first.voters.insert(hello->second.replica);
    }
    if (!first.voters.contains(m_replica))
        return std::nullopt;
    return first;
}

void MembershipBootstrap::receive(const HostId &from, const Hello &message, bool isBootstrapped,
                                  Outbox &out)
{
    const bool isNewReplica = !m_hellos.contains(from) || m_hellos[from].replica != message.replica;
    m_hellos[from] = message;
    // A host that started earlier may have missed the first Hello of this one.
    if (isNewReplica && !isBootstrapped)
        out.send(from, makeHello());
}

} // namespace gentiancross
