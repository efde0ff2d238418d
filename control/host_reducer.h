#pragma once

#include "control/daily_report_coordinator.h"
#include "control/data_centre_authority.h"
#include "control/entry_router.h"
#include "control/mirror_store.h"
#include "control/operator_change_coordinator.h"
#include "control/outbox.h"
#include "control/proposer.h"
#include "control/raft_consensus.h"
#include "control/reducer.h"
#include "control/timeline.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace gentiancross {

/** Settings and identity from which a HostReducer is constructed. */
struct HostReducerOptions
{
    HostDirectory directory;
    Identity identity;
    KeyHash operatorKey;
    /** Callers' keys are accepted for this long without contact with the log. */
    Milliseconds keyGrace{600'000};
    /** A host that shuts down still accepts work for this long after it first reports unready. */
    Milliseconds drainNotice{1'000};
    std::uint64_t seed = 1;
    /** Creates the policies for each data centre that this host becomes the authority of. */
    std::function<Policies()> policies = &Policies::standard;
};

/**
 * Reduces all events of an entry host: owns its control state, dispatches each event to the parts
 * whose state it concerns and returns the resulting effects. Called by the control loop.
 *
 * It is deterministic: it does no input or output, reads no clock and draws its randomness from the
 * seed, so the same events give the same effects. Thread safety: owned by the control thread.
 */
class HostReducer final : public Reducer, private AuthorityFinder
{
public:
    explicit HostReducer(HostReducerOptions options);

    /** Applies one event and returns its effects. Precondition: Recovered is the first event and
     * occurs once. */
    Effects reduce(const Event &event) override;

private:
    void handle(const Ticked &event);
    void handle(const Recovered &event);
    void handle(const Synced &event);
    void handle(const PeerMessageReceived &event);
    void handle(const SubmitReceived &event);
    void handle(const StatusReceived &event);
    void handle(const CancelReceived &event);
    void handle(const AnnouncementReceived &event);
    void handle(const OperatorChangeReceived &event);
    void handle(const QueryReceived &event);
    void handle(const DailyReportRequested &event);
    void handle(const ReadinessRequested &event);
    void handle(const CallEnded &event);
    void handle(const ForwardEnded &event);
    void handle(const ExchangeClosed &event);
    void handle(const ShutdownRequested &event);
    /** Ignores the events that only hosts of job cells cause. */
    template <typename Payload>
    void handle(const Payload &)
    {}

    void handlePeer(const HostId &from, const Propose &message);
    void handlePeer(const HostId &from, const MirrorReply &message);
    void handlePeer(const HostId &from, const MirrorLease &message);
    void handlePeer(const HostId &from, const MirrorAppend &message);
    void handlePeer(const HostId &from, const HandOver &message);
    void handlePeer(const HostId &from, const LedgerQuery &message);
    void handlePeer(const HostId &from, const LedgerReport &message);
    /** Messages between hosts of job cells, which entry hosts do not send. */
    void handlePeer(const HostId &, const LeaderQuery &) {}
    void handlePeer(const HostId &, const LeaderReport &) {}
    void handlePeer(const HostId &, const RelayCallRequest &) {}
    void handlePeer(const HostId &, const RelayCallResponse &) {}
    void handlePeer(const HostId &, const AdviceRequest &) {}
    void handlePeer(const HostId &, const AdviceResponse &) {}
    void handlePeer(const HostId &, const TimeoutNow &) {}
    void handlePeer(const HostId &, const WorkerOrders &) {}
    void handlePeer(const HostId &, const WorkerAnswers &) {}
    void handlePeer(const HostId &, const HeartbeatsReport &) {}
    void handlePeer(const HostId &, const UnknownIncarnationsReport &) {}
    template <typename Message>
    void handlePeer(const HostId &from, const Message &message);

    void processAppliedEntries();
    void reconcileAuthorities();
    void closeAuthority(const DataCentreId &dataCentre);
    void finishEvent();
    void continueShutdown();
    void compactIfLarge();
    Effects takeEffects();
    [[nodiscard]] DataCentreAuthority *decidingAuthority(Instant now,
                                                         const DataCentreId &dataCentre) override;
    [[nodiscard]] std::optional<std::string>
    authorityAddress(Instant now, const DataCentreId &dataCentre) const override;
    [[nodiscard]] bool checkOperator(ExchangeId exchange, const CallerIdentity &caller);
    [[nodiscard]] std::vector<DataCentreDay> describeDay(HalfHour first) const;
    [[nodiscard]] TeamsAnswer describeTeams() const;
    [[nodiscard]] WorkersAnswer describeWorkers() const;
    [[nodiscard]] MembersAnswer describeMembers() const;
    [[nodiscard]] LoadAnswer describeLoad() const;
    [[nodiscard]] TimelineAnswer describeTimeline() const;

    HostReducerOptions m_options;
    Outbox m_out;
    Timeline m_timeline;
    RaftConsensus m_raft;
    Proposer m_proposer;
    MirrorStore m_mirrorStore;
    EntryRouter m_entryRouter;
    OperatorChangeCoordinator m_operatorChanges;
    DailyReportCoordinator m_dailyReports;
    std::map<DataCentreId, std::unique_ptr<DataCentreAuthority>> m_authorities;
    /** Epochs whose authority this host gave up before it saw the successor in the log. */
    std::map<DataCentreId, Epoch> m_relinquishedEpochs;
    std::uint64_t m_lastCall = 0;
    Instant m_now;
    Milliseconds m_wall;
    Instant m_shutdownAt;
    bool m_shuttingDown = false;
    bool m_exited = false;
};

} // namespace gentiancross
