#include "control/host_reducer.h"

#include "core/error.h"

#include <algorithm>

namespace gentiancross {

namespace {

/**
 * The journal is compacted once it has grown by this many records, or to twice what it must hold,
 * whichever is more.
 */
constexpr std::size_t RecordsBeforeCompaction = 20'000;
constexpr std::size_t EntriesBeforeCompaction = 2'000;
constexpr std::size_t RecordsPerRequest = 6;
/** Upper bound on the wait for running calls during shutdown. */
constexpr Milliseconds MaxShutdownTime{60'000};

} // namespace

HostReducer::HostReducer(HostReducerOptions options)
    : m_options(std::move(options))
    , m_out(m_options.directory.own().hasStore)
    , m_timeline(m_options.directory.self)
    , m_raft(m_options.directory, m_options.identity, m_options.seed)
    , m_proposer(m_options.directory, m_options.identity, m_raft)
    , m_mirrorStore(m_options.directory, m_options.identity, m_raft, m_proposer)
    , m_entryRouter(m_options.directory, m_options.identity, m_raft, *this, m_options.keyGrace)
    , m_operatorChanges(m_options.directory, m_raft, m_options.operatorKey, m_options.keyGrace)
    , m_dailyReports(m_options.directory)
{}

Effects HostReducer::reduce(const Event &event)
{
    m_now = event.now;
    m_wall = event.wall;
    m_timeline.setWallTime(event.wall);
    for (auto &[dataCentre, authority] : m_authorities)
        authority->beginEvent(m_now, m_wall);
    std::visit([this](const auto &payload) { handle(payload); }, event.payload);
    processAppliedEntries();
    finishEvent();
    return takeEffects();
}

void HostReducer::handle(const Ticked &)
{
    m_raft.tick(m_now, m_out);
    m_proposer.tick(m_now, m_out);
    m_mirrorStore.tick(m_now, m_out);
    m_entryRouter.tick(m_now, m_out);
    for (auto &[dataCentre, authority] : m_authorities)
        authority->tick(m_now, m_wall, m_out);
    if (m_shuttingDown)
        continueShutdown();
}

void HostReducer::handle(const Recovered &event)
{
    for (const JournalRecord &record : event.records) {
        m_raft.recover(record);
        m_mirrorStore.recover(record);
    }
    m_raft.recovered(m_now, event.fresh);
    m_mirrorStore.finishRecovery(m_now);
}

void HostReducer::handle(const Synced &event)
{
    m_out.synced(event.token);
    m_raft.synced(m_now, event.token, m_out);
    for (auto &[dataCentre, authority] : m_authorities)
        authority->synced(event.token);
}

void HostReducer::handle(const PeerMessageReceived &event)
{
    if (!m_options.directory.knows(event.from))
        return;
    m_timeline.received(event.logicalTime);
    std::visit([&](const auto &message) { handlePeer(event.from, message); }, event.message);
}

template <typename Message>
void HostReducer::handlePeer(const HostId &from, const Message &message)
{
    m_raft.receive(m_now, from, message, m_out);
}

void HostReducer::handlePeer(const HostId &, const Propose &message)
{
    // A host that is no longer the leader does not reply; the proposer retries with the next
    // leader.
    m_raft.propose(m_now, message.proposal, message.command, m_out).IgnoreError();
}

void HostReducer::handlePeer(const HostId &from, const MirrorReply &message)
{
    const auto authority = m_authorities.find(message.dataCentre);
    if (authority != m_authorities.end() && authority->second->epoch() == message.epoch)
        authority->second->receive(m_now, from, message);
}

void HostReducer::handlePeer(const HostId &from, const MirrorLease &message)
{
    const auto authority = m_authorities.find(message.dataCentre);
    if (authority != m_authorities.end() && authority->second->epoch() == message.epoch)
        authority->second->receive(from, message);
}

void HostReducer::handlePeer(const HostId &from, const MirrorAppend &message)
{
    // Records of a later authority must not mix with those this host wrote as the authority.
    const auto authority = m_authorities.find(message.dataCentre);
    if (authority != m_authorities.end() && authority->second->epoch() < message.epoch) {
        m_relinquishedEpochs[message.dataCentre] = authority->second->epoch();
        closeAuthority(message.dataCentre);
    }
    m_mirrorStore.receive(m_now, from, message, m_out);
}

void HostReducer::handlePeer(const HostId &from, const HandOver &message)
{
    m_mirrorStore.receive(m_now, from, message, m_out);
}

void HostReducer::handlePeer(const HostId &from, const LedgerQuery &message)
{
    for (DataCentreDay &day : describeDay(message.first))
        m_out.send(from, LedgerReport{message.queryId, std::move(day)});
}

void HostReducer::handlePeer(const HostId &, const LedgerReport &message)
{
    m_dailyReports.receive(message);
}

void HostReducer::handle(const SubmitReceived &event)
{
    m_entryRouter.receive(m_now, event, m_out);
}

void HostReducer::handle(const StatusReceived &event)
{
    m_entryRouter.receive(m_now, event, m_out);
}

void HostReducer::handle(const CancelReceived &event)
{
    m_entryRouter.receive(m_now, event, m_out);
}

void HostReducer::handle(const AnnouncementReceived &event)
{
    m_entryRouter.receive(m_now, event, m_out);
}

void HostReducer::handle(const OperatorChangeReceived &event)
{
    m_operatorChanges.receive(m_now, event, m_out);
}

bool HostReducer::checkOperator(ExchangeId exchange, const CallerIdentity &caller)
{
    if (m_operatorChanges.isOperator(caller))
        return true;
    ErrorAnswer answer;
    answer.error = makeError(absl::StatusCode::kUnauthenticated, Step::Authenticate, "",
                             "this is not the operators' key");
    m_out.add(Reply{exchange, std::move(answer)});
    return false;
}

void HostReducer::handle(const DailyReportRequested &event)
{
    if (checkOperator(event.exchange, event.caller))
        m_dailyReports.begin(m_now, event, m_raft.state().data().waitLimits,
                             describeDay(event.day.first), m_out);
}

void HostReducer::handle(const QueryReceived &event)
{
    if (!checkOperator(event.exchange, event.caller))
        return;
    switch (event.kind) {
    case QueryKind::Teams:
        m_out.add(Reply{event.exchange, describeTeams()});
        break;
    case QueryKind::Workers:
        m_out.add(Reply{event.exchange, describeWorkers()});
        break;
    case QueryKind::Members:
        m_out.add(Reply{event.exchange, describeMembers()});
        break;
    case QueryKind::Load:
        m_out.add(Reply{event.exchange, describeLoad()});
        break;
    case QueryKind::Timeline:
        m_out.add(Reply{event.exchange, describeTimeline()});
        break;
    }
}

void HostReducer::handle(const ReadinessRequested &event)
{
    const std::string reason = m_entryRouter.unreadinessReason(m_now);
    m_out.add(Reply{event.exchange, ReadinessAnswer{reason.empty(), reason}});
}

void HostReducer::handle(const CallEnded &event)
{
    for (auto &[dataCentre, authority] : m_authorities) {
        if (authority->callEnded(m_now, event, m_out))
            return;
    }
}

void HostReducer::handle(const ForwardEnded &event)
{
    m_entryRouter.receive(m_now, event, m_out);
    m_operatorChanges.receive(m_now, event, m_out);
}

void HostReducer::handle(const ExchangeClosed &event)
{
    m_entryRouter.exchangeClosed(event.exchange);
    m_operatorChanges.exchangeClosed(event.exchange);
    for (auto &[dataCentre, authority] : m_authorities)
        authority->requests().exchangeClosed(event.exchange, m_out);
}

void HostReducer::handle(const ShutdownRequested &)
{
    if (m_shuttingDown)
        return;
    m_shuttingDown = true;
    m_shutdownAt = m_now;
    m_entryRouter.announceDrain();
    m_mirrorStore.stopClaiming();
    m_out.add(LogLine{false, m_options.directory.self.value(), "shutting down"});
}

void HostReducer::continueShutdown()
{
    // The load balancer first sees that this host is unready and stops sending callers here.
    if (m_exited || m_now - m_shutdownAt < m_options.drainNotice)
        return;
    m_entryRouter.stopAdmitting();
    std::vector<DataCentreId> finished;
    for (auto &[dataCentre, authority] : m_authorities) {
        authority->drain();
        if (authority->isDrained())
            finished.push_back(dataCentre);
    }
    for (const DataCentreId &dataCentre : finished) {
        const DataCentreAuthority &authority = *m_authorities.at(dataCentre);
        const std::optional<HostId> successor = authority.successor();
        m_relinquishedEpochs[dataCentre] = authority.epoch();
        if (successor.has_value())
            m_out.send(*successor, HandOver{dataCentre, authority.epoch()});
        closeAuthority(dataCentre);
    }
    const bool isDone = m_authorities.empty() && m_entryRouter.isIdle();
    if (!isDone && m_now - m_shutdownAt < MaxShutdownTime)
        return;
    m_exited = true;
    m_out.add(Exit{});
}

void HostReducer::processAppliedEntries()
{
    const std::vector<AppliedEntry> entries = m_raft.takeApplied();
    for (const AppliedEntry &applied : entries) {
        m_proposer.applied(applied.entry->proposal);
        m_operatorChanges.applied(m_now, applied);
        if (applied.entry->proposal.value().starts_with(OperatorProposalPrefix))
            m_timeline.note(applied.entry->proposal.value(),
                            applied.result.accepted ? "change in force here" : "change refused");
        for (auto &[dataCentre, authority] : m_authorities)
            authority->applied(applied);
    }
    if (!entries.empty() || m_raft.appliedIndex() != LogIndex())
        reconcileAuthorities();
}

void HostReducer::reconcileAuthorities()
{
    std::vector<DataCentreId> ended;
    for (const auto &[dataCentre, authority] : m_authorities) {
        const AuthorityData *const agreed = m_raft.state().authority(dataCentre);
        if (agreed == nullptr || agreed->epoch != authority->epoch())
            ended.push_back(dataCentre);
    }
    for (const DataCentreId &dataCentre : ended)
        closeAuthority(dataCentre);
    for (const auto &[dataCentre, authority] : m_raft.state().data().authorities) {
        const bool isOurs = authority.replica == m_options.identity.replica
                && authority.session == m_options.identity.session && !authority.lost;
        const auto relinquished = m_relinquishedEpochs.find(dataCentre);
        const bool isRelinquished = relinquished != m_relinquishedEpochs.end()
                && relinquished->second == authority.epoch;
        if (!isOurs || isRelinquished || m_authorities.contains(dataCentre))
            continue;
        m_timeline.note(dataCentre.value(),
                        "authority from epoch " + std::to_string(authority.epoch.value()));
        m_out.add(LogLine{false, dataCentre.value(),
                          "this host is now the authority, epoch "
                                  + std::to_string(authority.epoch.value())});
        m_authorities.emplace(dataCentre,
                              std::make_unique<DataCentreAuthority>(
                                      m_options.directory, m_options.identity, dataCentre,
                                      m_raft.state(), m_mirrorStore.copyOf(dataCentre), m_proposer,
                                      m_timeline, m_lastCall, m_options.policies(), m_now, m_out));
        m_authorities.at(dataCentre)->beginEvent(m_now, m_wall);
    }
}

void HostReducer::closeAuthority(const DataCentreId &dataCentre)
{
    const auto authority = m_authorities.find(dataCentre);
    m_timeline.note(dataCentre.value(), "authority ended");
    m_out.add(LogLine{false, dataCentre.value(), "this host is no longer the authority"});
    m_entryRouter.rerouteOrphaned(m_now, authority->second->requests().waitingExchanges(), m_out);
    m_authorities.erase(authority);
}

void HostReducer::finishEvent()
{
    // Any event may have shown that a configuration change now applies on one more host.
    m_operatorChanges.advance(m_now, m_out);
    m_dailyReports.advance(m_now, m_wall, m_out);
    for (auto &[dataCentre, authority] : m_authorities)
        authority->finishEvent(m_now, m_out);
    compactIfLarge();
}

void HostReducer::compactIfLarge()
{
    // A host without a store has no journal to compact, but its log must not grow without bound.
    if (!m_options.directory.own().hasStore) {
        if (m_raft.logSize() >= EntriesBeforeCompaction)
            m_raft.compact();
        return;
    }
    const std::size_t needed = m_mirrorStore.recordCount() * RecordsPerRequest;
    if (m_out.recordsSinceReplace() < std::max(RecordsBeforeCompaction, needed))
        return;
    std::vector<JournalRecord> records = m_raft.compact();
    for (JournalRecord &record : m_mirrorStore.compact())
        records.push_back(std::move(record));
    m_out.replaceJournal(std::move(records));
}

Effects HostReducer::takeEffects()
{
    Effects effects = m_out.take();
    for (Effect &effect : effects) {
        if (auto *message = std::get_if<SendToPeer>(&effect))
            message->logicalTime = m_timeline.timeForSending();
        else if (const auto *reply = std::get_if<Reply>(&effect))
            m_entryRouter.answered(reply->exchange);
    }
    return effects;
}

DataCentreAuthority *HostReducer::decidingAuthority(Instant now, const DataCentreId &dataCentre)
{
    const auto authority = m_authorities.find(dataCentre);
    if (authority == m_authorities.end() || !authority->second->mayDecide(now))
        return nullptr;
    return authority->second.get();
}

std::optional<std::string> HostReducer::authorityAddress(Instant now,
                                                         const DataCentreId &dataCentre) const
{
    return m_mirrorStore.authorityAddress(now, dataCentre);
}

std::vector<DataCentreDay> HostReducer::describeDay(HalfHour first) const
{
    std::vector<DataCentreDay> days;
    for (const auto &[dataCentre, authority] : m_authorities) {
        if (authority->mayDecide(m_now))
            days.push_back(authority->describeDay(first, m_wall));
    }
    return days;
}

TeamsAnswer HostReducer::describeTeams() const
{
    TeamsAnswer answer;
    for (const auto &[name, team] : m_raft.state().data().teams) {
        TeamView view;
        view.team = name;
        view.weight = team.weight;
        view.version = team.version;
        view.limit = team.limitInForce();
        view.limitTarget = team.limitTarget;
        view.allotments = team.allotments;
        for (const auto &[key, hash] : team.keys)
            view.keys.insert(key);
        for (const auto &[dataCentre, authority] : m_authorities)
            authority->describeTeam(view);
        answer.teams.push_back(std::move(view));
    }
    return answer;
}

WorkersAnswer HostReducer::describeWorkers() const
{
    WorkersAnswer answer;
    answer.dataCentre = m_options.directory.own().dataCentre;
    for (const auto &[dataCentre, authority] : m_authorities) {
        WorkersAnswer part = authority->describeWorkers(m_now);
        answer.workers.insert(answer.workers.end(), part.workers.begin(), part.workers.end());
    }
    std::sort(answer.workers.begin(), answer.workers.end(),
              [](const WorkerView &a, const WorkerView &b) { return a.worker < b.worker; });
    return answer;
}

MembersAnswer HostReducer::describeMembers() const
{
    MembersAnswer answer;
    answer.self = m_options.directory.self;
    answer.term = m_raft.term();
    answer.commit = m_raft.commitIndex();
    for (const auto &[host, info] : m_options.directory.hosts) {
        MemberView view;
        view.host = host;
        view.dataCentre = info.dataCentre;
        view.replica = m_raft.replicaOf(host).value_or(ReplicaId());
        view.voter = m_raft.isVoting(host);
        view.leader = m_raft.leader() == host;
        view.applied = m_raft.appliedBy(host);
        answer.members.push_back(std::move(view));
    }
    for (const auto &[dataCentre, authority] : m_raft.state().data().authorities)
        answer.authorities.push_back(
                {dataCentre, authority.epoch, authority.replica, authority.inSync});
    return answer;
}

LoadAnswer HostReducer::describeLoad() const
{
    LoadAnswer answer;
    for (const auto &[dataCentre, authority] : m_authorities)
        authority->addLoad(answer);
    return answer;
}

TimelineAnswer HostReducer::describeTimeline() const
{
    return {{m_timeline.entries().begin(), m_timeline.entries().end()}};
}

} // namespace gentiancross
