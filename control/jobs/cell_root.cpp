#include "control/jobs/cell_root.h"

#include "control/jobs/config_rules.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace gentiancross {

namespace {

/** Hosts of a cell are about a millisecond apart and sync within about ten milliseconds. A follower
 * stands for election after it has missed three heartbeats and a re-sent message. */
constexpr RaftTiming CellTiming{Milliseconds(600), Milliseconds(300), Milliseconds(150),
                                Milliseconds(400), Milliseconds(150), Milliseconds(150)};
/** How long a leader may act after sending the last message that a quorum has answered: three
 * heartbeats. The margin for leases of former leaders is longer (see WorkerPool). */
constexpr Milliseconds ConfirmedFor{500};
/** Hosts query every keeper once in four seconds. */
constexpr Milliseconds MaxQuerierAge{9000};
/** Hosts that can call the adviser query a keeper twice a second; a host that is silent for longer
 * is not reported to the leader. */
constexpr Milliseconds MaxAdviserCallerAge{1200};
/** Maximum time that a leader delays its shutdown to hand over its leadership. */
constexpr Milliseconds MaxHandOverTime{1500};
/** The platform's load balancer checks readiness every second and removes a host after the second
 * refusal. */
constexpr Milliseconds EntryDrain{2600};
constexpr Milliseconds KeeperDrain{600};
/** A restart reads all records since the last compaction; this limits it to about a second. */
constexpr std::size_t RecordsBeforeCompaction = 20'000;
/** Keepers compact at different log sizes, so that most of them respond while one is writing. */
constexpr std::size_t CompactionStep = 1 << 20;
constexpr std::size_t CompactionSteps = 8;

} // namespace

CellRoot::CellRoot(CellOptions options)
    : m_options(std::move(options))
    , m_out(m_options.isKeeper)
    , m_relay(m_options.directory.self,
              {m_options.isKeeper,
               m_options.callsAdviser,
               m_options.identity.session,
               {},
               m_options.heartbeatAddress,
               {}},
              m_options.seeds)
    , m_dispatcher(m_options.directory.self)
    , m_delegate(m_options.identity.session)
{
    if (!m_options.isKeeper)
        return;
    m_raft.emplace(m_options.directory, m_options.identity, m_options.seed, CellTiming);
    m_voters.emplace(*m_raft, m_options.identity.session, m_options.voters);
}

Effects CellRoot::reduce(const Event &event)
{
    m_now = event.now;
    m_wall = event.wall;
    std::visit([this](const auto &payload) { handle(payload); }, event.payload);
    if (m_raft.has_value()) {
        m_raft->takeApplied();
        updateLeadership();
        if (m_leader != nullptr && isConfirmed()) {
            applyDurableDecisions();
            proposeDecisions();
            applyDurableDecisions();
        }
        compactIfLarge();
    }
    return takeEffects();
}

Effects CellRoot::takeEffects()
{
    Effects effects = m_out.take();
    if (m_leader == nullptr)
        return effects;
    if (!isConfirmed())
        returnOrders(effects);
    m_dispatcher.dispatch(m_now, effects);
    return effects;
}

void CellRoot::returnOrders(Effects &effects)
{
    Effects rest;
    for (Effect &effect : effects) {
        const auto *const call = std::get_if<CallWorker>(&effect);
        if (call == nullptr) {
            rest.push_back(std::move(effect));
            continue;
        }
        WorkerAnswer unsent;
        unsent.call = call->call;
        unsent.verdict = WorkerVerdict::NotSent;
        unsent.error = "order not sent: this host is no longer confirmed as leader";
        m_leader->receive(m_now, unsent, m_out);
    }
    for (Effect &effect : m_out.take())
        rest.push_back(std::move(effect));
    effects = std::move(rest);
}

void CellRoot::handle(const Ticked &)
{
    m_metrics.recordTick(m_now, m_out);
    if (m_raft.has_value()) {
        m_raft->tick(m_now, m_out);
        updateLeadership();
        m_voters->tick(m_now, m_out);
        if (m_leader != nullptr && isConfirmed())
            m_leader->tick(m_now, m_wall, m_out);
    }
    if (m_leader == nullptr)
        tickFollower();
    else
        tickLeader();
    for (const CallId call : m_dispatcher.takeOverdue(m_now)) {
        WorkerAnswer none;
        none.call = call;
        none.error = "the keeper that sends the order did not report a result in time";
        m_out.count(CellEvent::OrderOverdue);
        m_leader->receive(m_now, none, m_out);
    }
    if (m_isShuttingDown && !m_hasExited)
        continueShutdown();
}

void CellRoot::tickLeader()
{
    preferVoters();
    m_relay.tickLeader(m_now, m_out);
}

void CellRoot::preferVoters()
{
    std::set<HostId> voters;
    for (const ReplicaId &voter : m_raft->membership().voters)
        voters.insert(hostOf(voter));
    m_dispatcher.setPreferred(std::move(voters));
}

void CellRoot::tickFollower()
{
    m_delegate.flush(m_now, m_out);
    if (m_options.isKeeper)
        m_relay.setAdviserCallers(adviserCallers());
    m_relay.tick(m_now, m_out);
    if (m_relay.hasLeader(m_now))
        m_heartbeats.flush(m_now, m_relay.leader(), m_out);
}

std::vector<HostLastHeard> CellRoot::adviserCallers() const
{
    std::vector<HostLastHeard> callers;
    for (const auto &[host, querier] : m_leaderQueriers) {
        const Milliseconds age = m_now - querier.queriedAt;
        if (querier.callsAdviser && age < MaxAdviserCallerAge)
            callers.push_back({host, age});
    }
    return callers;
}

void CellRoot::continueShutdown()
{
    const bool leads = m_raft.has_value() && m_raft->isLeader();
    if (leads && m_now < m_exitAt + MaxHandOverTime) {
        m_raft->transferLeadership(m_out);
        return;
    }
    if (m_now < m_exitAt)
        return;
    m_hasExited = true;
    m_relay.answerAll(m_out);
    m_out.add(Exit{});
}

void CellRoot::handle(const Recovered &event)
{
    if (!m_raft.has_value())
        return;
    for (const JournalRecord &record : event.records)
        m_raft->recover(record);
    m_raft->recovered(m_now, event.fresh);
    // The seeds may be gone by now; the voters are those who know the leader.
    for (const ReplicaId &voter : m_raft->membership().voters)
        addKeeper(hostOf(voter));
    m_out.add(LogLine{
            false, "start",
            absl::StrCat("records=", event.records.size(), " term=", m_raft->term().value())});
}

void CellRoot::handle(const Synced &event)
{
    m_out.synced(event.token);
    // Answers are sent together with the messages to the leader that this sync releases.
    m_delegate.flush(m_now, m_out);
    if (m_raft.has_value())
        m_raft->synced(m_now, event.token, m_out);
}

void CellRoot::handle(const PeerMessageReceived &event)
{
    std::visit([&](const auto &message) { handlePeer(event.from, message); }, event.message);
}

void CellRoot::handle(const CellCallReceived &event)
{
    if (m_leader == nullptr) {
        if (answerFromLog(event))
            return;
        const auto *heartbeat = std::get_if<WorkerHeartbeat>(&event.call);
        const bool isAbsorbed = heartbeat != nullptr && m_relay.hasLeader(m_now)
                && m_heartbeats.absorb(m_now, *heartbeat);
        if (isAbsorbed)
            m_out.add(AnswerCall{event.exchange, HeartbeatAccepted{m_options.heartbeatAddress}});
        else
            m_relay.receive(m_now, event, m_out);
        return;
    }
    m_relay.keep(m_now, event);
    m_leader->receive(m_now, m_wall, makeOrigin(event.exchange), event.call, m_out);
}

CallOrigin CellRoot::makeOrigin(ExchangeId exchange) const
{
    return {m_options.directory.self, exchange, m_options.identity.session};
}

bool CellRoot::answerFromLog(const CellCallReceived &event)
{
    const auto *const put = std::get_if<PutConfiguration>(&event.call);
    if (put == nullptr || !m_raft.has_value())
        return false;
    std::optional<CallAnswer> answer
            = configrules::answerUnchanged(*put, m_raft->state().data().jobs.document);
    if (!answer.has_value())
        return false;
    if (const auto *refused = std::get_if<CallRefused>(&*answer))
        m_out.note("configuration", "refused: " + refused->reason);
    m_out.add(AnswerCall{event.exchange, std::move(*answer)});
    return true;
}

void CellRoot::handle(const WorkerAnswer &event)
{
    HostMetrics::recordWorkerCall(event.cost, m_out);
    if (m_leader != nullptr)
        m_leader->receive(m_now, event, m_out);
    else
        m_delegate.receive(m_now, event, m_out);
}

void CellRoot::handlePeer(const HostId &from, const WorkerOrders &message)
{
    // If this host leads, the orders come from a leader of an older term.
    if (m_leader == nullptr)
        m_delegate.receive(from, message, m_out);
}

void CellRoot::handlePeer(const HostId &from, const WorkerAnswers &message)
{
    m_dispatcher.recordContact(m_now, from);
    for (const WorkerAnswer &answer : message.answers) {
        if (m_leader != nullptr && m_dispatcher.acceptAnswer(m_now, answer))
            m_leader->receive(m_now, answer, m_out);
        else
            m_out.count(CellEvent::AnswerDiscarded);
    }
}

void CellRoot::handlePeer(const HostId &from, const HeartbeatsReport &message)
{
    // Only the leader knows the incarnations; this batch for the leader arrived late.
    if (m_leader == nullptr)
        return;
    UnknownIncarnationsReport unknown = m_leader->receive(m_now, message, m_out);
    if (!unknown.incarnations.empty())
        m_out.send(from, std::move(unknown));
}

void CellRoot::handlePeer(const HostId &, const UnknownIncarnationsReport &message)
{
    m_heartbeats.forget(message);
}

void CellRoot::handle(const AdviceResponse &event)
{
    const auto relayed = m_relayedAdviceQueries.find(event.id);
    if (relayed != m_relayedAdviceQueries.end()) {
        AdviceResponse response = event;
        response.id = relayed->second.second;
        m_out.send(relayed->second.first, std::move(response));
        m_relayedAdviceQueries.erase(relayed);
    } else if (m_leader != nullptr) {
        m_leader->receive(m_now, event, m_out);
    }
}

void CellRoot::handle(const SeedsRead &event)
{
    m_out.add(LogLine{false, "reload",
                      absl::StrCat("seeds=", event.seeds.size(),
                                   " data_centres=", event.dataCentres.size())});
    m_options.dataCentres = event.dataCentres;
    if (m_leader != nullptr)
        m_leader->setDataCentres(event.dataCentres);
    for (const HostId &seed : event.seeds) {
        m_relay.addKeeper(seed);
        if (m_raft.has_value())
            addKeeper(seed);
    }
}

void CellRoot::handle(const ReadinessRequested &event)
{
    ReadinessAnswer answer;
    answer.ready = !m_isShuttingDown && (m_leader != nullptr || m_relay.hasLeader(m_now));
    answer.reason = m_isShuttingDown ? "shutting down" : answer.ready ? "" : "no leader is known";
    m_out.add(Reply{event.exchange, std::move(answer)});
}

void CellRoot::handle(const ExchangeClosed &event)
{
    m_relay.forgetExchange(event.exchange);
}

void CellRoot::handle(const ShutdownRequested &)
{
    if (m_isShuttingDown)
        return;
    m_isShuttingDown = true;
    m_exitAt = m_now + (m_options.isKeeper ? KeeperDrain : EntryDrain);
    m_out.add(LogLine{false, "stop", "shutdown requested; readiness checks now fail"});
}

void CellRoot::handlePeer(const HostId &from, const LeaderQuery &message)
{
    if (!m_raft.has_value())
        return;
    if (message.isKeeper) {
        addKeeper(from);
        m_dispatcher.recordQuery(m_now, from, message);
    }
    m_leaderQueriers[from] = {m_now, message.callsAdviser};
    if (m_leader != nullptr) {
        if (message.callsAdviser)
            m_leader->recordAdviserContact(m_now, from);
        for (const HostLastHeard &caller : message.adviserCallers)
            m_leader->recordAdviserContact(m_now - caller.age, caller.host);
    }
    m_out.send(from, describeLeader());
}

LeaderReport CellRoot::describeLeader() const
{
    LeaderReport report;
    report.leader = m_raft->leader();
    report.decides = m_leader != nullptr && isConfirmed();
    report.term = m_raft->term();
    if (!m_raft->isLeader())
        report.leaderAge = m_now - m_raft->lastContact();
    for (const auto &[host, info] : m_options.directory.hosts)
        report.keepers.push_back(host);
    return report;
}

void CellRoot::handlePeer(const HostId &from, const LeaderReport &message)
{
    if (m_raft.has_value()) {
        for (const HostId &keeper : message.keepers)
            addKeeper(keeper);
    }
    m_relay.receive(m_now, from, message, m_out);
}

void CellRoot::handlePeer(const HostId &from, const RelayCallRequest &message)
{
    // A host that does not lead sends no answer; the sender retries with the next leader.
    if (m_leader != nullptr)
        m_leader->receive(m_now, m_wall, {from, message.exchange, message.session}, message.call,
                          m_out);
}

void CellRoot::handlePeer(const HostId &, const RelayCallResponse &message)
{
    RelayCallResponse answered = message;
    // The worker continues to send its heartbeats to this host.
    auto *const taken = std::get_if<HeartbeatAccepted>(&answered.answer);
    if (taken != nullptr)
        taken->heartbeatAddress = m_options.heartbeatAddress;
    const std::optional<CellCall> call = m_relay.receive(std::move(answered), m_out);
    const auto *const heartbeat = call.has_value() ? std::get_if<WorkerHeartbeat>(&*call) : nullptr;
    if (taken != nullptr && heartbeat != nullptr)
        m_heartbeats.recordAcknowledged(m_now, *heartbeat);
}

void CellRoot::handlePeer(const HostId &from, const AdviceRequest &message)
{
    m_lastRelayedAdviceQuery = m_lastRelayedAdviceQuery.next();
    // Bit 62 keeps relayed ids distinct from those of this host's own queries as leader.
    const AdviceRequestId here(m_lastRelayedAdviceQuery.value() | (std::uint64_t(1) << 62));
    m_relayedAdviceQueries[here] = {from, message.id};
    AdviceRequest request = message;
    request.id = here;
    m_out.add(std::move(request));
}

void CellRoot::handlePeer(const HostId &, const AdviceResponse &message)
{
    if (m_leader != nullptr)
        m_leader->receive(m_now, message, m_out);
}

void CellRoot::handlePeer(const HostId &from, const Hello &message)
{
    if (!m_raft.has_value())
        return;
    addKeeper(from);
    m_raft->receive(m_now, from, message, m_out);
}

void CellRoot::handlePeer(const HostId &from, const VoteRequest &message)
{
    if (m_raft.has_value())
        m_raft->receive(m_now, from, message, m_out);
}

void CellRoot::handlePeer(const HostId &from, const VoteReply &message)
{
    if (m_raft.has_value())
        m_raft->receive(m_now, from, message, m_out);
}

void CellRoot::handlePeer(const HostId &from, const AppendRequest &message)
{
    if (m_raft.has_value())
        m_raft->receive(m_now, from, message, m_out);
}

void CellRoot::handlePeer(const HostId &from, const AppendReply &message)
{
    m_dispatcher.recordContact(m_now, from);
    if (m_raft.has_value())
        m_raft->receive(m_now, from, message, m_out);
}

void CellRoot::handlePeer(const HostId &from, const InstallSnapshot &message)
{
    if (m_raft.has_value())
        m_raft->receive(m_now, from, message, m_out);
}

void CellRoot::handlePeer(const HostId &from, const TimeoutNow &message)
{
    if (m_raft.has_value())
        m_raft->receive(m_now, from, message, m_out);
}

void CellRoot::addKeeper(const HostId &host)
{
    if (m_options.directory.knows(host))
        return;
    m_options.directory.hosts.emplace(host, HostInfo{host, DataCentreId(), true});
    m_raft->addHost(m_now, host);
    m_relay.addKeeper(host);
    m_out.add(LogLine{false, host.value(), "keeper added to the directory"});
}

void CellRoot::updateLeadership()
{
    const bool leads = m_raft->isLeader();
    if (!leads && m_leader != nullptr) {
        m_out.add(LogLine{true, "leader",
                          absl::StrCat("lost leadership: term=", m_raft->term().value(),
                                       " undecided=", m_proposed.size())});
        m_out.count(CellEvent::LeadershipLost);
        m_leader.reset();
        m_relay.endLeading(m_now, m_raft->confirmedContact());
        m_dispatcher.clear();
        m_proposed.clear();
        return;
    }
    // A new leader knows all committed entries only once an entry of its own term is applied.
    if (!leads || m_leader != nullptr || !isConfirmed() || !m_raft->hasAppliedCurrentTerm())
        return;
    beginToLead();
}

void CellRoot::beginToLead()
{
    LeaderOptions options{m_options.directory.self,   Fence(m_raft->term().value()),
                          m_options.heartbeatAddress, m_options.jobRetention,
                          m_options.dataCentres,      m_options.memory.storedWork};
    m_leader = std::make_unique<CellLeader>(m_now, std::move(options), m_raft->state().data().jobs);
    m_out.count(CellEvent::LeadershipGained);
    m_out.add(LogLine{false, "leader",
                      absl::StrCat("gained leadership: term=", m_raft->term().value(),
                                   " index=", m_raft->appliedIndex().value(),
                                   " jobs=", m_leader->store().jobs.size())});
    preferVoters();
    for (const auto &[exchange, call] : m_relay.beginToLead(m_now, m_raft->term()))
        m_leader->receive(m_now, m_wall, makeOrigin(exchange), call, m_out);
    for (auto querier = m_leaderQueriers.begin(); querier != m_leaderQueriers.end();) {
        if (m_now - querier->second.queriedAt > MaxQuerierAge) {
            querier = m_leaderQueriers.erase(querier);
            continue;
        }
        if (querier->second.callsAdviser)
            m_leader->recordAdviserContact(m_now, querier->first);
        // Hosts with calls waiting for a leader learn of it without waiting for their next query.
        m_out.send(querier->first, describeLeader());
        ++querier;
    }
}

bool CellRoot::isConfirmed() const
{
    return m_raft->isLeader() && m_now - m_raft->confirmedContact() < ConfirmedFor;
}

void CellRoot::proposeDecisions()
{
    // Only one entry is in flight at a time; decisions made meanwhile share the next entry.
    if (!m_proposed.empty() && m_raft->appliedIndex() < m_proposed.back().index)
        return;
    m_leader->startReady(m_now, m_out);
    if (!m_leader->hasDecisions())
        return;
    ProposedBatch proposed{LogIndex(), m_leader->takeDecisions()};
    if (proposed.decisions.records.empty())
        proposed.index = m_raft->appliedIndex();
    else
        proposed.index = m_raft->append(m_now, JobChanges{proposed.decisions.records}, m_out);
    proposed.decisions.records.clear();
    m_proposed.push_back(std::move(proposed));
}

void CellRoot::applyDurableDecisions()
{
    while (!m_proposed.empty() && m_proposed.front().index <= m_raft->appliedIndex()) {
        const DecisionBatch decisions = std::move(m_proposed.front().decisions);
        m_proposed.pop_front();
        for (const OriginAnswer &answer : decisions.answers)
            sendAnswer(answer.origin, answer.answer);
        m_leader->carryOut(m_now, decisions, m_out);
    }
}

void CellRoot::sendAnswer(const CallOrigin &origin, const CallAnswer &answer)
{
    RelayCallResponse response{origin.exchange, answer, origin.session};
    if (origin.host != m_options.directory.self) {
        m_out.send(origin.host, std::move(response));
        return;
    }
    if (auto *const taken = std::get_if<HeartbeatAccepted>(&response.answer)) {
        const std::string elsewhere = m_dispatcher.nextHeartbeatAddress(m_now);
        if (!elsewhere.empty())
            taken->heartbeatAddress = elsewhere;
    }
    m_relay.receive(std::move(response), m_out);
}

void CellRoot::compactIfLarge()
{
    const std::size_t step = std::hash<HostId>()(m_options.directory.self) % CompactionSteps;
    const auto logBytes = static_cast<std::size_t>(m_options.memory.log.value());
    const bool isLarge = m_out.recordsSinceReplace() >= RecordsBeforeCompaction
            || m_raft->bytesSinceCompaction() >= logBytes + step * CompactionStep;
    if (isLarge)
        m_out.replaceJournal(m_raft->compact());
}

} // namespace gentiancross
