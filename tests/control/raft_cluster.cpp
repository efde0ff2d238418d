#include "tests/control/raft_cluster.h"

#include "drivers/codec.h"

namespace gentiancross::tests {

namespace {

constexpr Milliseconds StepLength{50};

} // namespace

RaftCluster::RaftCluster(int hosts, int voters, std::uint32_t seed)
    : m_random(seed)
{
    HostDirectory directory;
    for (int index = 0; index < hosts; ++index) {
        const HostId host(std::string(1, static_cast<char>('a' + index)));
        directory.hosts[host] = {host, DataCentreId("x"), index < voters};
        if (index < voters)
            directory.initialVoters.push_back(host);
    }
    for (const auto &[host, info] : directory.hosts) {
        m_hosts[host.value()].directory = directory;
        m_hosts[host.value()].directory.self = host;
    }
    for (const std::string &name : names())
        begin(name);
}

std::vector<std::string> RaftCluster::names() const
{
    std::vector<std::string> names;
    for (const auto &[name, host] : m_hosts)
        names.push_back(name);
    return names;
}

void RaftCluster::begin(const std::string &name)
{
    Host &host = m_hosts.at(name);
    ++host.runs;
    const bool hasStore = host.directory.own().hasStore;
    const std::string unique = std::to_string(hasStore ? host.store : 1000 + host.runs);
    const Identity identity{makeReplica(HostId(name), hasStore, unique),
                            SessionId(name + std::to_string(host.runs))};
    host.replica = identity.replica;
    host.agreement = std::make_unique<RaftConsensus>(host.directory, identity, m_random());
    host.outbox = std::make_unique<Outbox>(hasStore);
    for (const JournalRecord &record : host.durable)
        host.agreement->recover(record);
    host.agreement->recovered(m_now, host.durable.empty());
}

void RaftCluster::crash(const std::string &name)
{
    Host &host = m_hosts.at(name);
    host.agreement.reset();
    host.outbox.reset();
    host.unsynced.clear();
}

void RaftCluster::restart(const std::string &name)
{
    if (!isUp(name))
        begin(name);
}

void RaftCluster::loseDisk(const std::string &name)
{
    crash(name);
    m_hosts.at(name).durable.clear();
    ++m_hosts.at(name).store;
}

void RaftCluster::collect(const std::string &name)
{
    Host &host = m_hosts.at(name);
    noteApplied(name);
    for (Effect &effect : host.outbox->take()) {
        if (auto *persist = std::get_if<Persist>(&effect)) {
            host.unsynced.push_back(std::move(*persist));
        } else if (auto *message = std::get_if<SendToPeer>(&effect)) {
            if (const auto *entries = std::get_if<AppendRequest>(&message->message))
                m_entriesSent[message->to.value()] += entries->entries.size();
            if (std::holds_alternative<InstallSnapshot>(message->message))
                ++m_snapshotsSent[message->to.value()];
            const bool isLost = std::uniform_real_distribution<>(0, 1)(m_random) < m_loss;
            const int copies = isLost ? 0 : (m_loss > 0 && m_random() % 16 == 0 ? 2 : 1);
            for (int copy = 0; copy < copies; ++copy) {
                // With loss there is delay too, so that messages overtake each other.
                const auto delay = static_cast<std::int64_t>(m_loss > 0 ? m_random() % 400 : 1);
                m_flights.push_back(
                        {name, message->to.value(), message->message, m_now + Milliseconds(delay)});
            }
        }
    }
}

void RaftCluster::sync(const std::string &name)
{
    Host &host = m_hosts.at(name);
    if (host.unsynced.empty())
        return;
    SyncToken token;
    for (Persist &persist : host.unsynced) {
        if (persist.replaceAll)
            host.durable.clear();
        host.durable.insert(host.durable.end(), persist.records.begin(), persist.records.end());
        token = persist.token;
    }
    host.unsynced.clear();
    host.outbox->synced(token);
    host.agreement->synced(m_now, token, *host.outbox);
    collect(name);
}

bool RaftCluster::canPass(const std::string &from, const std::string &to) const
{
    if (m_groups.empty())
        return true;
    for (const std::set<std::string> &group : m_groups) {
        if (group.contains(from) && group.contains(to))
            return true;
    }
    return false;
}

void RaftCluster::deliver()
{
    std::vector<Flight> due;
    std::vector<Flight> later;
    for (Flight &flight : m_flights)
        (flight.arrival <= m_now && !m_frozen.contains(flight.to) ? due : later)
                .push_back(std::move(flight));
    m_flights = std::move(later);
    for (const Flight &flight : due) {
        if (!isUp(flight.to) || !canPass(flight.from, flight.to))
            continue;
        Host &host = m_hosts.at(flight.to);
        std::visit(
                [&](const auto &message) {
                    using Message = std::decay_t<decltype(message)>;
                    constexpr bool IsOfLog = requires(RaftConsensus & agreement, Outbox & out)
                    {
                        agreement.receive(Instant(), HostId(), message, out);
                    };
                    if constexpr (IsOfLog)
                        host.agreement->receive(m_now, HostId(flight.from),
                                                static_cast<const Message &>(message),
                                                *host.outbox);
                },
                flight.message);
        collect(flight.to);
    }
}

void RaftCluster::advance(const std::string &name)
{
    m_hosts.at(name).agreement->tick(m_now, *m_hosts.at(name).outbox);
    collect(name);
    if (m_loss == 0 || m_random() % 2 == 0)
        sync(name);
}

std::size_t RaftCluster::entriesSentTo(const std::string &host) const
{
    const auto found = m_entriesSent.find(host);
    return found == m_entriesSent.end() ? 0 : found->second;
}

std::size_t RaftCluster::snapshotsSentTo(const std::string &host) const
{
    const auto found = m_snapshotsSent.find(host);
    return found == m_snapshotsSent.end() ? 0 : found->second;
}

void RaftCluster::run(int steps)
{
    for (int step = 0; step < steps; ++step) {
        m_now = m_now + StepLength;
        for (const std::string &name : names()) {
            if (isUp(name) && !m_frozen.contains(name))
                advance(name);
        }
        deliver();
        for (const std::string &name : names()) {
            if (isUp(name) && agreement(name).isLeader()) {
                const auto [known, isNew] = m_leaders.try_emplace(agreement(name).term(), name);
                if (!isNew && known->second != name)
                    m_broken.push_back("two leaders in term "
                                       + std::to_string(agreement(name).term().value()));
            }
        }
    }
}

void RaftCluster::noteApplied(const std::string &name)
{
    for (const AppliedEntry &applied : agreement(name).takeApplied()) {
        const LogEntry &entry = *applied.entry;
        const auto [known, isNew] = m_applied.try_emplace(entry.index, entry);
        if (!isNew && codec::textOf(known->second) != codec::textOf(entry))
            m_broken.push_back("two entries applied at " + std::to_string(entry.index.value()));
    }
}

bool RaftCluster::isRepaired()
{
    const std::optional<std::string> at = leader();
    if (!at.has_value() || !agreement(*at).membership().outgoing.empty())
        return false;
    for (const ReplicaId &voter : agreement(*at).membership().voters) {
        const Host &host = m_hosts.at(hostOf(voter).value());
        // A replica that has not applied the membership yet might still vote by an older one.
        const bool isThere = host.agreement != nullptr && host.replica == voter
                && host.agreement->appliedIndex() == agreement(*at).commitIndex();
        if (!isThere)
            return false;
    }
    return true;
}

std::optional<std::string> RaftCluster::leader()
{
    std::optional<std::string> found;
    for (const std::string &name : names()) {
        const bool leads = isUp(name) && agreement(name).isLeader();
        if (leads && (!found.has_value() || agreement(name).term() > agreement(*found).term()))
            found = name;
    }
    return found;
}

bool RaftCluster::propose(const std::string &name, const ReplicatedCommand &command)
{
    const std::optional<std::string> at = leader();
    if (!at.has_value())
        return false;
    const bool taken = agreement(*at)
                               .propose(m_now, ProposalId(name), command, *m_hosts.at(*at).outbox)
                               .ok();
    collect(*at);
    return taken;
}

absl::Status RaftCluster::proposeVoters(const std::string &at, const std::string &name,
                                        const std::set<std::string> &voters)
{
    std::set<HostId> hosts;
    for (const std::string &voter : voters)
        hosts.insert(HostId(voter));
    absl::Status status
            = agreement(at).proposeVoters(m_now, ProposalId(name), hosts, *m_hosts.at(at).outbox);
    collect(at);
    return status;
}

} // namespace gentiancross::tests
