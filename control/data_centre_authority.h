#pragma once

#include "control/limit_escrow.h"
#include "control/minute_recorder.h"
#include "control/mirror_set.h"
#include "control/reclaimer.h"
#include "control/record_writer.h"
#include "control/request_tracker.h"
#include "control/scheduler.h"
#include "control/task_tracker.h"

#include <vector>

namespace gentiancross {

/**
 * The authority of one data centre in one epoch: owns its mirrors, limits, requests, tasks and
 * scheduler. HostReducer creates it when this host becomes the authority and closes it when the
 * authority ends.
 * Thread safety: owned by the control thread.
 */
class DataCentreAuthority final : public SchedulerContext
{
public:
    DataCentreAuthority(const HostDirectory &directory, const Identity &identity,
                        DataCentreId dataCentre, const ReplicatedState &state, DataCentreCopy &copy,
                        Proposer &proposer, Timeline &timeline, std::uint64_t &lastCall,
                        Policies policies, Instant now, const Outbox &out);

    [[nodiscard]] Epoch epoch() const { return m_epoch; }
    /** False if the lease has expired or the authority is draining for a handover. */
    [[nodiscard]] bool mayDecide(Instant now) const;

    /** Sets the time of the event that is about to be handled. */
    void beginEvent(Instant now, Milliseconds wall) { m_requests.beginEvent(now, wall); }

    /** As RequestTracker::submit; Unavailable with Step::Journal while no durable replica is in
     * sync. */
    absl::Status submit(Instant now, ExchangeId exchange, const TeamId &team,
                        const RequestId &request, const WorkSpec &spec, Outbox &out);
    RequestTracker &requests() { return m_requests; }
    [[nodiscard]] const RequestTracker &requests() const { return m_requests; }
    /** Precondition: mayDecide. */
    AnnouncementReply announced(Instant now, const Announcement &announcement, Outbox &out);
    bool callEnded(Instant now, const CallEnded &event, Outbox &out);
    void receive(Instant now, const HostId &from, const MirrorReply &reply);
    void receive(const HostId &from, const MirrorLease &lease) { m_mirrors.receive(from, lease); }
    void synced(SyncToken token);
    /** Called after an entry of the log has changed the agreed state. */
    void applied(const AppliedEntry &applied);
    void tick(Instant now, Milliseconds wall, Outbox &out);

    /** Completes an event: runs the scheduler, sends what has been promised and flushes mirrors. */
    void finishEvent(Instant now, Outbox &out);

    /** Stops making decisions; running calls continue. */
    void drain();
    /** True once no call is open and all records are promised, so a successor can take over. */
    [[nodiscard]] bool isDrained() const;
    [[nodiscard]] std::optional<HostId> successor() const { return m_mirrors.successor(); }

    [[nodiscard]] WorkersAnswer describeWorkers(Instant now) const;
    void addLoad(LoadAnswer &load) const;
    /** Summarises the ledger and the open requests for the day that begins with \a first. */
    [[nodiscard]] DataCentreDay describeDay(HalfHour first, Milliseconds wall) const
    {
        return m_copy.describeDay(m_dataCentre, first, wall);
    }
    /** Adds the team's running and queued work in this data centre to \a view. */
    void describeTeam(TeamView &view) const;

    [[nodiscard]] const WorkSpec &specOf(const QueueItem &item) const override;
    [[nodiscard]] std::int64_t weightOf(const TeamId &team) const override;
    [[nodiscard]] MilliCores headroomOf(const TeamId &team) const override;
    [[nodiscard]] std::set<RackId> racksOf(const QueueItem &item) const override;

private:
    void schedule(Outbox &out);
    /** Returns the running and queued cores of each team. */
    [[nodiscard]] std::map<TeamId, TeamDemand> demand() const;
    [[nodiscard]] DataCentreSample sampleDataCentre() const;
    void balanceLimits(Instant now, Outbox &out);

    const HostDirectory &m_directory;
    DataCentreId m_dataCentre;
    Epoch m_epoch;
    const ReplicatedState &m_state;
    DataCentreCopy &m_copy;
    Proposer &m_proposer;
    MirrorSet m_mirrors;
    RecordWriter m_records;
    Scheduler m_scheduler;
    RequestTracker m_requests;
    TaskTracker m_tasks;
    LimitEscrow m_limits;
    Reclaimer m_reclaimer;
    MinuteRecorder m_minutes;
    Instant m_nextReclaim;
    Instant m_nextBalance;
    bool m_draining = false;
};

} // namespace gentiancross
