#pragma once

#include <json/json.h>

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace gentiancross::tests {

/** Milliseconds of the machine's monotonic clock, which all its processes share. */
std::int64_t monotonicNowMs();

/** Resources of a stand-in worker. */
struct StandinCapacity
{
    std::int64_t millicores = 32'000;
    std::int64_t memoryMib = 65'536;
    std::int64_t accelerators = 0;
    std::int64_t slots = 8;
    std::int64_t connections = 64;
};

/** One run of a task, as recorded by the worker. */
struct RunRecord
{
    std::string task;
    std::string team;
    std::string nonce;
    std::uint64_t epoch = 0;
    std::int64_t millicores = 0;
    std::int64_t startedAt = 0;
    /** 0 while the task runs. */
    std::int64_t endedAt = 0;
};

/** The work that a task simulates, read from its payload. */
struct SimulatedTask
{
    std::int64_t runMs = 10;
    std::int64_t answerBytes = 0;
    std::string nonce;
    /** Fault to simulate: fail, cut, twice, silent, late, or empty for none. */
    std::string fault;
};

/** Answer of a worker to a start order; status 0 if it sends none. */
struct OrderResult
{
    int status = 200;
    std::string body;
};

/**
 * Simulates a worker: enforces leases and epochs, records every run, and records as violations
 * whatever the system must never do, such as a second start of a task or a load above the worker's
 * capacity. Called by StandinServer. Thread safety: any thread.
 */
class StandinWorker
{
public:
    StandinWorker(std::string name, std::string address, std::string dataCentre, std::string rack,
                  StandinCapacity capacity);

    /** Runs the task to its end if the order asks for an answer with the result; otherwise starts
     * it and returns at once. */
    OrderResult handleOrder(const Json::Value &order, const SimulatedTask &work);
    /** Builds the announcement with the worker's current state. */
    Json::Value announcement();
    /** Applies the answer to an announcement. Returns true if it carries a new epoch, so that
     * another announcement should follow at once. */
    bool applyAnnouncementReply(const Json::Value &reply);
    /** Modes: "normal", "black-hole" (fails every task at once), "silent" (sends no announcements)
     * and "leaving" (announces that it leaves). */
    void setMode(const std::string &mode);
    /** Starts a new session and forgets tasks and epoch, as a restart of the worker process does.
     */
    void restart();
    [[nodiscard]] bool isSilent() const;
    /** Counts a connection that opens (1) or closes (-1). */
    void connectionChanged(int change);

    /** Appends all run records and violations. */
    void appendRecords(Json::Value &runs, Json::Value &breaches) const;

private:
    struct Run
    {
        std::size_t recordIndex = 0;
        std::int64_t millicores = 0;
        std::int64_t memoryMib = 0;
        std::int64_t accelerators = 0;
        std::int64_t slots = 0;
        std::int64_t leaseUntil = 0;
        std::int64_t startedAt = 0;
        std::int64_t endsAt = 0;
        bool stop = false;
        bool throttled = false;
    };

    [[nodiscard]] std::int64_t clock() const;
    std::string refusal(const Json::Value &order) const;
    void begin(const Json::Value &order, const std::string &nonce);
    bool waitForEnd(std::unique_lock<std::mutex> &lock, const std::string &task, std::int64_t runMs,
                    const std::string &session);
    void finish(const std::string &task, bool succeeded);
    void saveProgress(const std::string &task);
    void throttle(const std::string &task);
    void recordViolation(const std::string &what);

    const std::string m_name;
    const std::string m_address;
    const std::string m_dataCentre;
    const std::string m_rack;
    const StandinCapacity m_capacity;

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::string m_session;
    std::int64_t m_clockOffset = 0;
    std::uint64_t m_sessions = 0;
    std::uint64_t m_epoch = 0;
    std::string m_mode = "normal";
    std::map<std::string, Run> m_running;
    std::map<std::string, bool> m_finished;
    std::map<std::string, int> m_starts;
    std::vector<RunRecord> m_runRecords;
    std::vector<std::string> m_violations;
    int m_connections = 0;
};

} // namespace gentiancross::tests
