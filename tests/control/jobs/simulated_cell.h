#pragma once

#include "control/jobs/cell_root.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace gentiancross::tests {

/**
 * Simulates all hosts of a cell; the test controls the delivery of messages, the disks and the
 * clock. Records that were persisted but not synced are lost in a crash. Keepers are named "k1",
 * "k2", ..., of which the first three are the seeds; "e1" and "e2" are entry hosts.
 */
class SimulatedCell
{
public:
    explicit SimulatedCell(int keepers, std::uint64_t seed = 1, VoterOptions voters = {});

    void advance(std::int64_t milliseconds);
    void crash(const std::string &host);
    void restart(const std::string &host);
    /** Changes the seeds in the settings of all hosts; at first these are "k1", "k2" and "k3". */
    void setSeeds(std::vector<std::string> seeds);
    void loseDisk(const std::string &host) { m_disks.erase(host); }
    void shutDown(const std::string &host);
    /** Suspends the process; its events are queued until `resumeProcess`. */
    void pauseProcess(const std::string &host) { m_pausedEvents[host]; }
    void resumeProcess(const std::string &host);
    /** Delivers messages only between hosts of the same group. */
    void partition(std::vector<std::set<std::string>> groups) { m_groups = std::move(groups); }
    /** Delays messages to the host until `heal`; those that it sends arrive as before. */
    void cutIncoming(const std::string &host) { m_deaf.insert(host); }
    void heal();
    /** If \a tamper returns a message, it is delivered just before the original one. */
    void setTamper(std::function<std::optional<PeerMessage>(const PeerMessage &)> tamper)
    {
        m_tamper = std::move(tamper);
    }
    /** Returns the orders that the host has sent to workers since the last call. */
    std::vector<CallWorker> takeOrders(const std::string &host)
    {
        return std::exchange(m_orders[host], {});
    }
    [[nodiscard]] Instant now() const { return m_now; }
    /** Delivers a local event to the host, such as a worker's answer. */
    void deliverEvent(const std::string &host, EventPayload payload);

    ExchangeId call(const std::string &host, const CellCall &call, std::int64_t timeoutMs = 3000);
    /** The answer to a call, or null if there is none yet. */
    [[nodiscard]] const CallAnswer *answer(ExchangeId exchange) const;
    /** When the call was answered; empty if it was not. */
    [[nodiscard]] std::optional<Instant> answeredAt(ExchangeId exchange) const;
    /** The number of calls that were answered more than once. */
    [[nodiscard]] int repeatedAnswers() const { return m_repeatedAnswers; }
    /** Waits up to \a timeoutMs for an answer; returns the milliseconds waited, or nothing. */
    std::optional<std::int64_t> wait(ExchangeId exchange, std::int64_t timeoutMs);
    bool isReady(const std::string &host);
    [[nodiscard]] bool isUp(const std::string &host) const { return m_hosts.contains(host); }
    [[nodiscard]] bool hasExited(const std::string &host) const { return m_exited.contains(host); }
    /** Number of log entries sent to the host so far. */
    [[nodiscard]] std::size_t entriesSentTo(const std::string &host) { return m_entriesSent[host]; }
    /** Number of append requests sent to the host so far. */
    [[nodiscard]] std::size_t appendsSentTo(const std::string &host) { return m_appendsSent[host]; }
    /** Approximate size of the largest of these requests. */
    [[nodiscard]] std::size_t maxAppendBytesSentTo(const std::string &host)
    {
        return m_maxAppendBytes[host];
    }
    /** All measurements of the host so far, including those of earlier processes. */
    [[nodiscard]] const Measurements &measurementsOf(const std::string &host)
    {
        return m_measurements[host];
    }
    /** Advances the time by one second and returns the keeper that reported itself as leader. */
    std::optional<std::string> leader();

private:
    struct Disk
    {
        std::string name;
        std::vector<JournalRecord> synced;
        std::vector<std::pair<SyncToken, std::vector<JournalRecord>>> written;
    };

    struct MessageInFlight
    {
        std::string from;
        std::string to;
        PeerMessage message;
    };

    void start(const std::string &host, bool isFirstStart);
    void recordAppend(const std::string &to, const AppendRequest &append);
    void applyEffect(const std::string &host, Effect effect);
    [[nodiscard]] bool areConnected(const std::string &first, const std::string &second) const;

    std::uint64_t m_seed;
    std::vector<std::string> m_seeds = {"k1", "k2", "k3"};
    VoterOptions m_voters;
    Instant m_now{1'000'000};
    std::map<std::string, std::unique_ptr<CellRoot>> m_hosts;
    std::map<std::string, Disk> m_disks;
    std::deque<MessageInFlight> m_messagesInFlight;
    std::vector<std::set<std::string>> m_groups;
    /** Hosts to which messages are delayed, and these messages. */
    std::set<std::string> m_deaf;
    std::deque<MessageInFlight> m_delayedMessages;
    std::uint64_t m_lastExchange = 0;
    int m_createdDisks = 0;
    std::map<ExchangeId, CallAnswer> m_answers;
    std::map<ExchangeId, Instant> m_answerTimes;
    int m_repeatedAnswers = 0;
    std::map<ExchangeId, bool> m_readiness;
    std::map<std::string, std::size_t> m_appendsSent;
    std::map<std::string, std::string> m_leaderReports;
    std::set<std::string> m_exited;
    std::map<std::string, std::size_t> m_entriesSent;
    std::map<std::string, std::size_t> m_maxAppendBytes;
    std::map<std::string, Measurements> m_measurements;
    /** Events queued for suspended processes. */
    std::map<std::string, std::vector<EventPayload>> m_pausedEvents;
    std::function<std::optional<PeerMessage>(const PeerMessage &)> m_tamper;
    std::map<std::string, std::vector<CallWorker>> m_orders;
};

} // namespace gentiancross::tests
