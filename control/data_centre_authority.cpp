#include "control/data_centre_authority.h"

#include "core/error.h"

#include <algorithm>

namespace gentiancross {

namespace {

/** Bounds the processing time of one event. */
constexpr std::size_t MaxDecisionsPerEvent = 256;
constexpr Milliseconds BalanceInterval{100};
constexpr Milliseconds ReclaimInterval{250};

} // namespace

DataCentreAuthority::DataCentreAuthority(const HostDirectory &directory, const Identity &identity,
                                         DataCentreId dataCentre, const ReplicatedState &state,
                                         DataCentreCopy &copy, Proposer &proposer,
                                         Timeline &timeline, std::uint64_t &lastCall,
                                         Policies policies, Instant now, const Outbox &out)
    : m_directory(directory)
    , m_dataCentre(std::move(dataCentre))
    , m_epoch(state.authority(m_dataCentre)->epoch)
    , m_state(state)
    , m_copy(copy)
    , m_proposer(proposer)
    , m_mirrors(directory, identity, m_dataCentre, *state.authority(m_dataCentre),
                copy.lastSequence(), now, out)
    , m_records(m_dataCentre, copy, m_mirrors)
    , m_scheduler(std::move(policies))
    , m_requests(copy, m_scheduler, m_records, timeline)
    , m_tasks(m_epoch, m_scheduler, m_records, m_requests, lastCall)
    , m_limits(m_dataCentre, m_epoch, state, proposer)
    , m_reclaimer(m_scheduler, m_tasks, m_requests)
    , m_minutes(m_records)
{
    m_copy.beginEpoch(m_epoch);
    m_requests.setTasks(&m_tasks);
    m_requests.adoptAll(now);
}

bool DataCentreAuthority::mayDecide(Instant now) const
{
    return !m_draining && now < m_mirrors.leaseEnd();
}

absl::Status DataCentreAuthority::submit(Instant now, ExchangeId exchange, const TeamId &team,
                                         const RequestId &request, const WorkSpec &spec,
                                         Outbox &out)
{
    return m_requests.submit(now, exchange, team, request, spec, m_mirrors.hasDurableReplica(),
                             out);
}

AnnouncementReply DataCentreAuthority::announced(Instant now, const Announcement &announcement,
                                                 Outbox &out)
{
    return m_tasks.announced(now, announcement, out);
}

bool DataCentreAuthority::callEnded(Instant now, const CallEnded &event, Outbox &out)
{
    return m_tasks.callEnded(now, event, out);
}

void DataCentreAuthority::receive(Instant now, const HostId &from, const MirrorReply &reply)
{
    m_mirrors.receive(now, from, reply);
}

void DataCentreAuthority::synced(SyncToken token)
{
    m_mirrors.synced(token);
}

void DataCentreAuthority::applied(const AppliedEntry &applied)
{
    const AuthorityData *authority = m_state.authority(m_dataCentre);
    if (authority != nullptr)
        m_mirrors.updateAgreed(*authority);
    m_limits.onProposalApplied(applied.entry->proposal);
    m_scheduler.markTeamsChanged();
}

void DataCentreAuthority::tick(Instant now, Milliseconds wall, Outbox &out)
{
    const std::optional<SetInSync> change = m_mirrors.nextChange(now);
    if (change.has_value())
        m_proposer.propose(now, *change, out);
    if (now >= m_mirrors.leaseEnd())
        return;
    m_tasks.tick(now, out);
    m_requests.tick(now, out);
    if (m_minutes.isSampleDue(now))
        m_minutes.addSample(now, wall, sampleDataCentre(), out);
    if (now >= m_nextBalance)
        balanceLimits(now, out);
    if (now >= m_nextReclaim && mayDecide(now)) {
        m_nextReclaim = now + ReclaimInterval;
        // A snapshot of the log may have changed limits without any entry being applied.
        m_scheduler.markTeamsChanged();
        m_reclaimer.advance(now, *this);
        m_scheduler.holdWorkersFor(*this, m_requests.waiting().gangs().longest(now));
    }
}

std::map<TeamId, TeamDemand> DataCentreAuthority::demand() const
{
    std::map<TeamId, TeamDemand> demand;
    for (const auto &[team, running] : m_scheduler.running())
        demand[team].used = running.cores;
    for (const auto &[team, cores] : m_requests.waiting().cores())
        demand[team].queued = cores;
    return demand;
}

DataCentreSample DataCentreAuthority::sampleDataCentre() const
{
    DataCentreSample sample;
    sample.usable = m_scheduler.usableTotal().cores;
    sample.refused = m_requests.counts().refused;
    for (const auto &[team, load] : demand()) {
        const MilliCores headroom = std::max(headroomOf(team), MilliCores(0));
        sample.teams[team]
                = {weightOf(team), load.used, load.used + std::min(load.queued, headroom)};
    }
    return sample;
}

void DataCentreAuthority::balanceLimits(Instant now, Outbox &out)
{
    m_nextBalance = now + BalanceInterval;
    m_limits.balance(now, demand(), out);
}

void DataCentreAuthority::finishEvent(Instant now, Outbox &out)
{
    if (mayDecide(now))
        schedule(out);
    const RecordSequence promised = m_mirrors.promised();
    m_tasks.sendPromised(now, promised, m_mirrors.leaseEnd(), out);
    m_requests.sendPromised(promised, out);
    m_mirrors.flush(now, m_copy, out);
}

void DataCentreAuthority::schedule(Outbox &out)
{
    if (m_scheduler.queues().size() == 0)
        return;
    for (const Decision &decision : m_scheduler.decide(*this, MaxDecisionsPerEvent))
        m_requests.onStartDecided(decision, out);
}

void DataCentreAuthority::drain()
{
    m_draining = true;
}

bool DataCentreAuthority::isDrained() const
{
    return m_tasks.openCalls() == 0 && m_mirrors.promised() == m_records.last();
}

WorkersAnswer DataCentreAuthority::describeWorkers(Instant now) const
{
    WorkersAnswer answer;
    answer.dataCentre = m_dataCentre;
    const WorkerTable &table = m_tasks.workers();
    for (const auto &[id, state] : table.workers())
        answer.workers.push_back({id, state.last.address, state.last.rack, state.last.capacity,
                                  m_scheduler.reservedOn(id), table.describe(now, id)});
    return answer;
}

void DataCentreAuthority::addLoad(LoadAnswer &load) const
{
    load.authority = true;
    load.accepted += m_requests.counts().accepted;
    load.refused += m_requests.counts().refused;
    load.ended += m_requests.counts().ended;
    load.started += m_tasks.startsSent();
    load.queued += m_scheduler.queues().size();
    load.running += m_tasks.runCount();
    load.workers += m_tasks.workers().workers().size();
}

void DataCentreAuthority::describeTeam(TeamView &view) const
{
    view.runningHere += m_scheduler.runningOf(view.team).cores;
    view.queuedHere += static_cast<std::uint32_t>(m_scheduler.queues().sizeOf(view.team));
}

const WorkSpec &DataCentreAuthority::specOf(const QueueItem &item) const
{
    return m_requests.specOf(item);
}

std::int64_t DataCentreAuthority::weightOf(const TeamId &team) const
{
    const auto found = m_state.data().teams.find(team);
    return found == m_state.data().teams.end() ? 1 : found->second.weight;
}

MilliCores DataCentreAuthority::headroomOf(const TeamId &team) const
{
    return m_limits.headroom(team, m_scheduler.runningOf(team).cores);
}

std::set<RackId> DataCentreAuthority::racksOf(const QueueItem &item) const
{
    std::set<RackId> racks;
    const RequestFacts *facts = m_copy.find(item.request);
    for (const TaskFacts &task : facts->tasks) {
        const WorkerState *worker = m_tasks.workers().find(task.worker);
        if (worker != nullptr)
            racks.insert(worker->last.rack);
    }
    return racks;
}

} // namespace gentiancross
