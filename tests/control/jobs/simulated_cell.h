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
 * The hosts of a cell with messages, disks and time in the hands of a test. What was persisted but
 * not synced is lost with a crash. Keepers are "k1", "k2", ..., the first three are the seeds;
 * "e1", "e2" take callers.
 */
class SimulatedCell
{
public:
    explicit SimulatedCell(int keepers, std::uint64_t seed = 1);

    void advance(std::int64_t milliseconds);
    void crash(const std::string &host);
    void restart(const std::string &host);
    void loseDisk(const std::string &host) { m_disks.erase(host); }
    void shutDown(const std::string &host);
    /** The process stands still; what comes for it waits until it goes on. */
    void pauseProcess(const std::string &host) { m_pausedEvents[host]; }
    void resumeProcess(const std::string &host);
    /** Messages advance only within each group. */
    void partition(std::vector<std::set<std::string>> groups) { m_groups = std::move(groups); }
    void heal() { m_groups.clear(); }
    /** What \a tamper makes of a message comes before the message itself. */
    void setTamper(std::function<std::optional<PeerMessage>(const PeerMessage &)> tamper)
    {
        m_tamper = std::move(tamper);
    }
    /** Orders to workers that left the host since the last call. */
    std::vector<CallWorker> takeOrders(const std::string &host)
    {
        return std::exchange(m_orders[host], {});
    }
    [[nodiscard]] Instant now() const { return m_now; }
    /** An event of the host's own, such as a worker's answer. */
    void deliverEvent(const std::string &host, EventPayload payload);

    ExchangeId call(const std::string &host, const CellCall &call, std::int64_t timeoutMs = 3000);
    /** The answer to a call, once there is one. */
    [[nodiscard]] const CallAnswer *answer(ExchangeId exchange) const;
    /** Waits for an answer; returns how long it took, or nothing within \a timeoutMs. */
    std::optional<std::int64_t> wait(ExchangeId exchange, std::int64_t timeoutMs);
    bool isReady(const std::string &host);
    [[nodiscard]] bool hasExited(const std::string &host) const { return m_exited.contains(host); }
    /** How many entries of the log were sent to the host so far. */
    [[nodiscard]] std::size_t entriesSentTo(const std::string &host) { return m_entriesSent[host]; }
    /** How many of the leader's messages about the log were sent to the host so far. */
    [[nodiscard]] std::size_t appendsSentTo(const std::string &host) { return m_appendsSent[host]; }
    /** About how large the largest of these messages was. */
    [[nodiscard]] std::size_t maxAppendBytesSentTo(const std::string &host)
    {
        return m_maxAppendBytes[host];
    }
    /** What the host has counted and measured so far, over all its processes. */
    [[nodiscard]] const Measurements &measurementsOf(const std::string &host)
    {
        return m_measurements[host];
    }
    /** The keeper whose answers callers get now. */
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
    Instant m_now{1'000'000};
    std::map<std::string, std::unique_ptr<CellRoot>> m_hosts;
    std::map<std::string, Disk> m_disks;
    std::deque<MessageInFlight> m_messagesInFlight;
    std::vector<std::set<std::string>> m_groups;
    std::uint64_t m_lastExchange = 0;
    int m_createdDisks = 0;
    std::map<ExchangeId, CallAnswer> m_answers;
    std::map<ExchangeId, bool> m_readiness;
    std::map<std::string, std::size_t> m_appendsSent;
    std::map<std::string, std::string> m_leaderReports;
    std::set<std::string> m_exited;
    std::map<std::string, std::size_t> m_entriesSent;
    std::map<std::string, std::size_t> m_maxAppendBytes;
    std::map<std::string, Measurements> m_measurements;
    /** What came for processes that stand still. */
    std::map<std::string, std::vector<EventPayload>> m_pausedEvents;
    std::function<std::optional<PeerMessage>(const PeerMessage &)> m_tamper;
    std::map<std::string, std::vector<CallWorker>> m_orders;
};

} // namespace gentiancross::tests
