#pragma once

#include "control/raft_consensus.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace gentiancross::tests {

/**
 * A simulated Raft group: owns RaftConsensus objects for several hosts and simulates their
 * messages, disks and clock under the control of a test. Records that were persisted but not synced
 * are lost in a crash.
 */
class RaftCluster
{
public:
    /** Hosts named "a", "b", ...; the first \a voters have disks and are the initial voters. */
    RaftCluster(int hosts, int voters, std::uint32_t seed);

    /** Advances the time: hosts tick, disks sync, and messages are delivered; with loss some are
     * late, duplicated or lost. */
    void run(int steps);
    void setLoss(double loss) { m_loss = loss; }
    void crash(const std::string &host);
    void restart(const std::string &host);
    /** Crashes the host and erases its disk. */
    void loseDisk(const std::string &host);
    /** Pauses the host; messages to it are delivered when it thaws. */
    void freeze(const std::string &host) { m_frozen.insert(host); }
    void thaw(const std::string &host) { m_frozen.erase(host); }
    /** The number of entries sent to the host so far, resends included. */
    [[nodiscard]] std::size_t entriesSentTo(const std::string &host) const;
    /** The number of snapshots sent to the host so far. */
    [[nodiscard]] std::size_t snapshotsSentTo(const std::string &host) const;
    /** Messages pass only within each group. */
    void partition(const std::vector<std::set<std::string>> &groups) { m_groups = groups; }
    void heal() { m_groups.clear(); }

    /** True if every voter is running with its store and is up to date, so that the log survives
     * the loss of one more. */
    bool hasAllVoterStores();

    std::optional<std::string> leader();
    /** Proposes at the leader; returns false if there is none. */
    bool propose(const std::string &name, const ReplicatedCommand &command);
    absl::Status proposeVoters(const std::string &at, const std::string &name,
                               const std::set<std::string> &voters);
    RaftConsensus &raft(const std::string &host) { return *m_hosts.at(host).raft; }
    [[nodiscard]] bool isUp(const std::string &host) const
    {
        return m_hosts.at(host).raft != nullptr;
    }
    [[nodiscard]] std::vector<std::string> names() const;

    /** The entries that any host has applied, by index. Two hosts that differ are a violation. */
    [[nodiscard]] const std::map<LogIndex, LogEntry> &applied() const { return m_applied; }
    /** The violated invariants found so far. */
    [[nodiscard]] const std::vector<std::string> &violations() const { return m_violations; }
    [[nodiscard]] Instant now() const { return m_now; }
    std::minstd_rand &random() { return m_random; }

private:
    struct Host
    {
        HostDirectory directory;
        ReplicaId replica;
        std::unique_ptr<RaftConsensus> raft;
        std::unique_ptr<Outbox> outbox;
        std::vector<JournalRecord> durable;
        std::vector<Persist> unsynced;
        int store = 1;
        int runs = 0;
    };

    struct InFlightMessage
    {
        std::string from;
        std::string to;
        PeerMessage message;
        Instant arrival;
    };

    void startHost(const std::string &name);
    void collectEffects(const std::string &name);
    void sync(const std::string &name);
    void deliver();
    /** Ticks the host and syncs its disk. */
    void advance(const std::string &name);
    [[nodiscard]] bool canPass(const std::string &from, const std::string &to) const;
    void checkApplied(const std::string &name);

    std::minstd_rand m_random;
    std::map<std::string, Host> m_hosts;
    std::vector<InFlightMessage> m_inFlight;
    std::set<std::string> m_frozen;
    std::map<std::string, std::size_t> m_entriesSent;
    std::map<std::string, std::size_t> m_snapshotsSent;
    std::vector<std::set<std::string>> m_groups;
    std::map<LogIndex, LogEntry> m_applied;
    std::map<Term, std::string> m_leaders;
    std::vector<std::string> m_violations;
    double m_loss = 0.0;
    Instant m_now{1'000'000};
};

} // namespace gentiancross::tests
