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
 * Several hosts' parts of the agreed log, with messages, disks and time in the hands of a test.
 * What was persisted but not synced is lost with a crash.
 */
class RaftCluster
{
public:
    /** Hosts named "a", "b", ...; the first \a voters have disks and found the log. */
    RaftCluster(int hosts, int voters, std::uint32_t seed);

    /** Lets time pass: each host ticks, disks sync, messages arrive, some late, twice or not at
     * all. */
    void run(int steps);
    void setLoss(double loss) { m_loss = loss; }
    void crash(const std::string &host);
    void restart(const std::string &host);
    /** Crashes the host and takes its disk away. */
    void loseDisk(const std::string &host);
    /** The host stands still; what is sent to it waits and arrives when it thaws. */
    void freeze(const std::string &host) { m_frozen.insert(host); }
    void thaw(const std::string &host) { m_frozen.erase(host); }
    /** How many entries the host was sent so far, repetitions counted. */
    [[nodiscard]] std::size_t entriesSentTo(const std::string &host) const;
    /** How often the host was sent a whole state. */
    [[nodiscard]] std::size_t snapshotsSentTo(const std::string &host) const;
    /** Messages pass only within each group. */
    void partition(const std::vector<std::set<std::string>> &groups) { m_groups = groups; }
    void heal() { m_groups.clear(); }

    /** True if every voter's store is there, so that the log survives the loss of one more. */
    bool isRepaired();

    std::optional<std::string> leader();
    /** Proposes at the leader; returns false if there is none. */
    bool propose(const std::string &name, const ReplicatedCommand &command);
    absl::Status proposeVoters(const std::string &at, const std::string &name,
                               const std::set<std::string> &voters);
    RaftConsensus &agreement(const std::string &host) { return *m_hosts.at(host).agreement; }
    [[nodiscard]] bool isUp(const std::string &host) const
    {
        return m_hosts.at(host).agreement != nullptr;
    }
    [[nodiscard]] std::vector<std::string> names() const;

    /** The entries that some host has applied, by index. Two hosts that differ are a broken
     * promise. */
    [[nodiscard]] const std::map<LogIndex, LogEntry> &applied() const { return m_applied; }
    /** What was found broken so far. */
    [[nodiscard]] const std::vector<std::string> &broken() const { return m_broken; }
    [[nodiscard]] Instant now() const { return m_now; }
    std::minstd_rand &random() { return m_random; }

private:
    struct Host
    {
        HostDirectory directory;
        ReplicaId replica;
        std::unique_ptr<RaftConsensus> agreement;
        std::unique_ptr<Outbox> outbox;
        std::vector<JournalRecord> durable;
        std::vector<Persist> unsynced;
        int store = 1;
        int runs = 0;
    };

    struct Flight
    {
        std::string from;
        std::string to;
        PeerMessage message;
        Instant arrival;
    };

    void begin(const std::string &name);
    void collect(const std::string &name);
    void sync(const std::string &name);
    void deliver();
    /** Ticks the host and syncs its disk. */
    void advance(const std::string &name);
    [[nodiscard]] bool canPass(const std::string &from, const std::string &to) const;
    void noteApplied(const std::string &name);

    std::minstd_rand m_random;
    std::map<std::string, Host> m_hosts;
    std::vector<Flight> m_flights;
    std::set<std::string> m_frozen;
    std::map<std::string, std::size_t> m_entriesSent;
    std::map<std::string, std::size_t> m_snapshotsSent;
    std::vector<std::set<std::string>> m_groups;
    std::map<LogIndex, LogEntry> m_applied;
    std::map<Term, std::string> m_leaders;
    std::vector<std::string> m_broken;
    double m_loss = 0.0;
    Instant m_now{1'000'000};
};

} // namespace gentiancross::tests
