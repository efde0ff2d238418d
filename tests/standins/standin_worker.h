#pragma once

#include <json/json.h>

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace gentiancross::tests {

/** Milliseconds of the machine's monotonic clock, the same for all stand-ins on it. */
std::int64_t monotonicNowMs();

/** What a stand-in worker has. */
struct StandinCapacity
{
    std::int64_t millicores = 32'000;
    std::int64_t memoryMib = 65'536;
    std::int64_t accelerators = 0;
    std::int64_t slots = 8;
    std::int64_t connections = 64;
};

/** One run of a task, as the worker saw it. */
struct RunWitness
{
    std::string task;
    std::string team;
    std::string nonce;
    std::uint64_t epoch = 0;
    std::int64_t millicores = 0;
    std::int64_t startedAt = 0;
    /** 0 while it runs. */
    std::int64_t endedAt = 0;
};

/** What an order pretends to be. */
struct SimulatedTask
{
    std::int64_t runMs = 10;
    std::int64_t answerBytes = 0;
    std::string nonce;
    /** fail, cut, twice, silent, late or empty. */
    std::string fault;
};

/** How a worker took an order, and what it answers; status 0 for no answer at all. */
struct OrderResult
{
    int status = 200;
    std::string body;
};

/**
 * A pretended worker: keeps leases, epochs and its capacity strictly, counts every start, and
 * writes down whatever the system did that it never should. Thread safety: any thread.
 */
class StandinWorker
{
public:
    StandinWorker(std::string name, std::string address, std::string dataCentre, std::string rack,
                  StandinCapacity capacity);

    /** Runs a task, or starts it if it is not to be answered with its result. */
    OrderResult order(const Json::Value &order, const SimulatedTask &pretence);
    /** What the worker announces now. */
    Json::Value announcement();
    /** Takes the answer to an announcement; returns true if another should follow at once. */
    bool announced(const Json::Value &reply);
    /** "normal", "black-hole" (fails all at once), "silent" (announces nothing), "leaving". */
    void setMode(const std::string &mode);
    /** Forgets everything, as a restart of the worker does. */
    void restart();
    [[nodiscard]] bool isSilent() const;
    /** Notes a connection that opens (1) or closes (-1). */
    void connectionChanged(int change);

    /** Appends all runs and breaches. */
    void appendRecords(Json::Value &runs, Json::Value &breaches) const;

private:
    struct Run
    {
        std::size_t witness = 0;
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
    void breach(const std::string &what);

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
    std::vector<RunWitness> m_runRecords;
    std::vector<std::string> m_breaches;
    int m_connections = 0;
};

} // namespace gentiancross::tests
