#pragma once

#include "control/admission/memory_plan.h"
#include "control/jobs/call_relay.h"
#include "control/jobs/cell_leader.h"
#include "control/jobs/heartbeat_collector.h"
#include "control/jobs/host_metrics.h"
#include "control/jobs/order_delegate.h"
#include "control/jobs/order_dispatcher.h"
#include "control/membership/voter_supervisor.h"
#include "control/outbox.h"
#include "control/raft_consensus.h"
#include "control/reducer.h"

#include <deque>
#include <memory>
#include <optional>

namespace gentiancross {

/** Construction parameters of `CellRoot`. */
struct CellOptions
{
    /** Keepers known at start-up; the initial voters are set only when the cell is founded. */
    HostDirectory directory;
    Identity identity;
    std::vector<HostId> seeds;
    /** True if this host stores the cell's log on disk. */
    bool isKeeper = false;
    /** True if this host can call the cell's adviser. */
    bool callsAdviser = false;
    /** Address to which workers send heartbeats to this host, if it is a keeper. */
    std::string heartbeatAddress;
    VoterOptions voters;
    std::uint64_t seed = 1;
    /** How long a job is kept after its end. */
    Milliseconds jobRetention{DefaultJobRetentionMilliseconds};
    /** The cell's data centres by the settings; empty if these list none. */
    std::set<DataCentreId> dataCentres;
    /** How this host divides its memory, if it is a keeper. */
    MemoryPlan memory = deriveMemoryPlan(DefaultKeeperMemory);
};

/**
 * The root reducer of a host in a cell whose replicated log holds the jobs themselves. Owns the
 * host's replica of the log (on a keeper), the relay that forwards calls to the leader, and the
 * `CellLeader` while this host leads. The leader decides for the whole cell. Called by the control
 * thread with each event; does no I/O and reads no clock.
 * Thread safety: owned by the control thread.
 */
class CellRoot final : public Reducer
{
public:
    explicit CellRoot(CellOptions options);

    /** Processes one event and returns its effects. Precondition: Recovered comes first, once. */
    Effects reduce(const Event &event) override;

private:
    void handle(const Ticked &event);
    void handle(const Recovered &event);
    void handle(const Synced &event);
    void handle(const PeerMessageReceived &event);
    void handle(const CellCallReceived &event);
    void handle(const WorkerAnswer &event);
    void handle(const AdviceResponse &event);
    void handle(const SeedsRead &event);
    void handle(const ReadinessRequested &event);
    void handle(const ExchangeClosed &event);
    void handle(const ShutdownRequested &event);
    /** Ignores events of hosts that decide for a data centre; a host of a cell causes none. */
    template <typename Payload>
    void handle(const Payload &)
    {}

    void handlePeer(const HostId &from, const LeaderQuery &message);
    void handlePeer(const HostId &from, const LeaderReport &message);
    void handlePeer(const HostId &from, const RelayCallRequest &message);
    void handlePeer(const HostId &from, const RelayCallResponse &message);
    void handlePeer(const HostId &from, const AdviceRequest &message);
    void handlePeer(const HostId &from, const AdviceResponse &message);
    void handlePeer(const HostId &from, const WorkerOrders &message);
    void handlePeer(const HostId &from, const WorkerAnswers &message);
    void handlePeer(const HostId &from, const HeartbeatsReport &message);
    void handlePeer(const HostId &from, const UnknownIncarnationsReport &message);
    void handlePeer(const HostId &from, const Hello &message);
    void handlePeer(const HostId &from, const VoteRequest &message);
    void handlePeer(const HostId &from, const VoteReply &message);
    void handlePeer(const HostId &from, const AppendRequest &message);
    void handlePeer(const HostId &from, const AppendReply &message);
    void handlePeer(const HostId &from, const InstallSnapshot &message);
    void handlePeer(const HostId &from, const TimeoutNow &message);
    /** Ignores messages of hosts that decide for a data centre. */
    template <typename Message>
    void handlePeer(const HostId &, const Message &)
    {}

    /** Answers a configuration that is invalid or not newer than the committed one, so that it
     * costs the leader nothing. Returns false for other calls. */
    bool answerFromLog(const CellCallReceived &event);
    void addKeeper(const HostId &host);
    void continueShutdown();
    void beginToLead();
    [[nodiscard]] LeaderReport describeLeader() const;
    void updateLeadership();
    [[nodiscard]] bool isConfirmed() const;
    void proposeDecisions();
    void applyDurableDecisions();
    [[nodiscard]] CallOrigin makeOrigin(ExchangeId exchange) const;
    void sendAnswer(const CallOrigin &origin, const CallAnswer &answer);
    void compactIfLarge();
    void tickFollower();
    void tickLeader();
    void preferVoters();
    [[nodiscard]] std::vector<HostLastHeard> adviserCallers() const;
    /** Reports the orders in \a effects to the leader as not sent, since its confirmation by a
     * quorum has expired. */
    void returnOrders(Effects &effects);
    Effects takeEffects();

    struct LeaderQuerier
    {
        Instant queriedAt;
        bool callsAdviser = false;
    };

    /** A batch whose records are in the log up to `index`. */
    struct ProposedBatch
    {
        LogIndex index;
        DecisionBatch decisions;
    };

    CellOptions m_options;
    Outbox m_out;
    std::optional<RaftConsensus> m_raft;
    std::optional<VoterSupervisor> m_voters;
    CallRelay m_relay;
    /** Hosts that have sent a leader query, with the time of their last one. */
    std::map<HostId, LeaderQuerier> m_leaderQueriers;
    std::unique_ptr<CellLeader> m_leader;
    OrderDispatcher m_dispatcher;
    OrderDelegate m_delegate;
    HeartbeatCollector m_heartbeats;
    HostMetrics m_metrics;
    std::deque<ProposedBatch> m_proposed;
    /** Queries to the adviser relayed for other hosts, by their local query id: the origin host and
     * the id used there. */
    std::map<AdviceRequestId, std::pair<HostId, AdviceRequestId>> m_relayedAdviceQueries;
    AdviceRequestId m_lastRelayedAdviceQuery;
    Instant m_now;
    Milliseconds m_wall;
    Instant m_exitAt;
    bool m_isShuttingDown = false;
    bool m_hasExited = false;
};

} // namespace gentiancross
