#pragma once

#include "control/jobs/call_relay.h"
#include "control/jobs/cell_leader.h"
#include "control/jobs/heartbeat_collector.h"
#include "control/jobs/host_metrics.h"
#include "control/jobs/order_delegate.h"
#include "control/jobs/order_dispatcher.h"
#include "control/outbox.h"
#include "control/raft_consensus.h"
#include "control/reducer.h"

#include <deque>
#include <memory>
#include <optional>

namespace gentiancross {

/** What a host of a cell is made with. */
struct CellOptions
{
    /** Keepers that are known from the start; the initial voters are set only when founding. */
    HostDirectory directory;
    Identity identity;
    std::vector<HostId> seeds;
    /** True if this host keeps the cell's log on a disk. */
    bool isKeeper = false;
    /** True if this host can call the cell's adviser. */
    bool callsAdviser = false;
    /** Where workers reach this host, if it is a keeper. */
    std::string heartbeatAddress;
    /** How many voters the log has: two for each loss that it must bear, and one. */
    std::size_t voters = 3;
    std::uint64_t seed = 1;
    /** How long a job is known after its end. */
    Milliseconds jobRetention{DefaultJobRetentionMilliseconds};
};

/**
 * The reducer of a host in a cell whose log holds the jobs themselves. The log's leader decides for
 * the whole cell; every host passes calls on to it. Does no input or output and reads no clock.
 * Thread safety: owned by the control thread.
 */
class CellRoot final : public Reducer
{
public:
    explicit CellRoot(CellOptions options);

    /** Takes one event in and returns its effects. Precondition: Recovered comes first, once. */
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
    /** Events of hosts that decide for a data centre; a host of a cell causes none. */
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
    /** Messages of hosts that decide for a data centre. */
    template <typename Message>
    void handlePeer(const HostId &, const Message &)
    {}

    void addKeeper(const HostId &host);
    void continueShutdown();
    void beginToLead();
    [[nodiscard]] LeaderReport describeLeader() const;
    void updateLeadership();
    void adjustVoters();
    [[nodiscard]] bool isConfirmed() const;
    void propose();
    void release();
    void sendAnswer(const CallOrigin &origin, const CallAnswer &answer);
    void compactIfLarge();
    void tickFollower();
    void preferVoters();
    [[nodiscard]] std::vector<HostLastHeard> adviserCallers() const;
    /** Tells the leader that its orders were not sent: its time to act is over. */
    void returnOrders(Effects &effects);
    Effects takeEffects();

    struct Asker
    {
        Instant askedAt;
        bool callsAdviser = false;
    };

    /** DecisionBatch whose records are in the log up to `index`. */
    struct Proposed
    {
        LogIndex index;
        DecisionBatch decisions;
    };

    CellOptions m_options;
    Outbox m_out;
    std::optional<RaftConsensus> m_agreement;
    CallRelay m_relay;
    /** The hosts that have asked who leads, and when. */
    std::map<HostId, Asker> m_leaderQueriers;
    std::unique_ptr<CellLeader> m_leader;
    OrderDispatcher m_dispatcher;
    OrderDelegate m_delegate;
    HeartbeatCollector m_beats;
    HostMetrics m_meter;
    std::deque<Proposed> m_proposed;
    /** Questions to the adviser that other hosts sent here, by the number they have here. */
    std::map<AdviceRequestId, std::pair<HostId, AdviceRequestId>> m_relayedAdviceQueries;
    AdviceRequestId m_lastRelayedAdviceQuery;
    Instant m_nextVoterCheck;
    std::uint64_t m_memberChanges = 0;
    Instant m_now;
    Milliseconds m_wall;
    Instant m_exitAt;
    bool m_isShuttingDown = false;
    bool m_hasExited = false;
};

} // namespace gentiancross
