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
        startHost(name);
}

std::vector<std::string> RaftCluster::names() const
{
    std::vector<std::string> names;
    for (const auto &[name, host] : m_hosts)
        names.push_back(name);
    return names;
}

void RaftCluster::startHost(const std::string &name)
{
    Host &host = m_hosts.at(name);
    ++host.runs;
    const bool hasStore = host.directory.own().hasStore;
    const std::string unique = std::to_string(hasStore ? host.store : 1000 + host.runs);
    const Identity identity{makeReplica(HostId(name), hasStore, unique),
                            SessionId(name + std::to_string(host.runs))};
    host.replica = identity.replica;
    host.raft = std::make_unique<RaftConsensus>(host.directory, identity, m_random());
    host.outbox = std::make_unique<Outbox>(hasStore);
    for (const JournalRecord &record : host.durable)
        host.raft->recover(record);
    host.raft->recovered(m_now, host.durable.empty());
}

void RaftCluster::crash(const std::string &name)
{
    Host &host = m_hosts.at(name);
    host.raft.reset();
    host.outbox.reset();
    host.unsynced.clear();
}

void RaftCluster::restart(const std::string &name)
{
    if (!isUp(name))
        startHost(name);
}

void RaftCluster::loseDisk(const std::string &name)
{
    crash(name);
    m_hosts.at(name).durable.clear();
    ++m_hosts.at(name).store;
}

void RaftCluster::collectEffects(const std::string &name)
{
    Host &host = m_hosts.at(name);
    checkApplied(name);
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
                // With loss, messages are also delayed, so that they are reordered.
                const auto delay = static_cast<std::int64_t>(m_loss > 0 ? m_random() % 400 : 1);
                m_inFlight.push_back(
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
    host.raft->synced(m_now, token, *host.outbox);
    collectEffects(name);
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
    std::vector<InFlightMessage> due;
    std::vector<InFlightMessage> later;
    for (InFlightMessage &flight : m_inFlight)
        (flight.arrival <= m_now && !m_frozen.contains(flight.to) ? due : later)
                .push_back(std::move(flight));
    m_inFlight = std::move(later);
    for (const InFlightMessage &flight : due) {
        if (!isUp(flight.to) || !canPass(flight.from, flight.to))
            continue;
        Host &host = m_hosts.at(flight.to);
        std::visit(
                [&](const auto &message) {
                    using Message = std::decay_t<decltype(message)>;
                    constexpr bool IsRaftMessage = requires(RaftConsensus & raft, Outbox & out)
                    {
                        raft.receive(Instant(), HostId(), message, out);
                    };
                    if constexpr (IsRaftMessage)
                        host.raft->receive(m_now, HostId(flight.from),
                                           static_cast<const Message &>(message), *host.outbox);
                },
                flight.message);
        collectEffects(flight.to);
    }
}

void RaftCluster::advance(const std::string &name)
{
    m_hosts.at(name).raft->tick(m_now, *m_hosts.at(name).outbox);
    collectEffects(name);
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
            if (isUp(name) && raft(name).isLeader()) {
                const auto [known, isNew] = m_leaders.try_emplace(raft(name).term(), name);
                if (!isNew && known->second != name)
                    m_violations.push_back("two leaders in term "
                                           + std::to_string(raft(name).term().value()));
            }
        }
    }
}

void RaftCluster::checkApplied(const std::string &name)
{
    for (const AppliedEntry &applied : raft(name).takeApplied()) {
        const LogEntry &entry = *applied.entry;
        const auto [known, isNew] = m_applied.try_emplace(entry.index, entry);
        if (!isNew && codec::encode(known->second) != codec::encode(entry))
            m_violations.push_back("two entries applied at " + std::to_string(entry.index.value()));
    }
}

bool RaftCluster::hasAllVoterStores()
{
    const std::optional<std::string> at = leader();
    if (!at.has_value() || !raft(*at).membership().outgoing.empty())
        return false;
    for (const ReplicaId &voter : raft(*at).membership().voters) {
        const Host &host = m_hosts.at(hostOf(voter).value());
        // A replica that has not applied the membership yet might still use an older one for its
        // vote.
        const bool isAvailable = host.raft != nullptr && host.replica == voter
                && host.raft->appliedIndex() == raft(*at).commitIndex();
        if (!isAvailable)
            return false;
    }
    return true;
}

std::optional<std::string> RaftCluster::leader()
{
    std::optional<std::string> found;
    for (const std::string &name : names()) {
        const bool leads = isUp(name) && raft(name).isLeader();
        if (leads && (!found.has_value() || raft(name).term() > raft(*found).term()))
            found = name;
    }
    return found;
}

bool RaftCluster::propose(const std::string &name, const ReplicatedCommand &command)
{
    const std::optional<std::string> at = leader();
    if (!at.has_value())
        return false;
    const bool accepted
            = raft(*at).propose(m_now, ProposalId(name), command, *m_hosts.at(*at).outbox).ok();
    collectEffects(*at);
    return accepted;
}

absl::Status RaftCluster::proposeVoters(const std::string &at, const std::string &name,
                                        const std::set<std::string> &voters)
{
    std::set<HostId> hosts;
    for (const std::string &voter : voters)
        hosts.insert(HostId(voter));
    absl::Status status
            = raft(at).proposeVoters(m_now, ProposalId(name), hosts, *m_hosts.at(at).outbox);
    collectEffects(at);
    return status;
}

} // namespace gentiancross::tests
