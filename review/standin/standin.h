// Stand-ins for the review's scripts: a small cell of real processes, workers, an adviser,
// callers and a forwarder. All addresses are loopback addresses of one block, 127.N.x.y.
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <json/json.h>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Headers = std::map<std::string, std::string>;

/** Milliseconds on the steady clock since the program's start. */
std::int64_t nowMs();
std::int64_t unixMs();
void sleepMs(std::int64_t milliseconds);
/** Waits until \a condition holds; false if it doesn't within the time. */
bool waitFor(std::int64_t milliseconds, const std::function<bool()> &condition);

/** The record of a run: what was sent, answered and run, with times. Thread-safe. */
class Record
{
public:
    explicit Record(const std::string &path);
    void line(const std::string &text);

private:
    std::mutex m_mutex;
    int m_file = -1;
};

struct Reply
{
    /** 0 if there was no complete answer. */
    int status = 0;
    std::string body;
    std::int64_t tookMs = 0;
};

/** One HTTP/1.1 call on a connection of its own. */
Reply call(const std::string &address, const std::string &method, const std::string &path,
           const Headers &headers, const std::string &body, int timeoutMs);

struct Request
{
    std::string method;
    std::string path;
    Headers headers;
    std::string body;
};

/** An HTTP/1.1 server with persistent connections and a thread for each. */
class Server
{
public:
    /** Returns status and body; status 0 means that there is no response. */
    using Handler = std::function<std::pair<int, std::string>(const Request &)>;
    ~Server() { stop(); }
    bool start(const std::string &ip, int port, Handler handler);
    void stop();

private:
    void serve(int socket);

    Handler m_handler;
    std::atomic<int> m_listening{-1};
    std::atomic<bool> m_isStopping{false};
    std::thread m_thread;
    std::mutex m_mutex;
    std::vector<std::thread> m_threads;
    std::set<int> m_sockets;
};

/** Forwards TCP connections from one address to another. */
class Forwarder
{
public:
    ~Forwarder() { stop(); }
    bool start(const std::string &ip, int port, const std::string &targetIp);
    /** Open connections carry nothing any more, without a reset; new ones work. */
    void silenceOpenConnections();
    void stop();

private:
    struct Link
    {
        int ends[2];
        bool isSilent = false;
        bool isClosed = false;
    };
    void run();

    std::string m_targetIp;
    int m_port = 0;
    int m_listening = -1;
    std::atomic<bool> m_isStopping{false};
    std::atomic<bool> m_silence{false};
    std::thread m_thread;
};

/** A run that a worker began. */
struct Start
{
    std::string worker;
    std::string task;
    std::uint64_t run = 0;
    std::int64_t at = 0;
    /** -1 while it runs. */
    std::int64_t endedAt = -1;
    std::string how;
    /** When `last_seen` reached its end; -1 if it has not. */
    std::int64_t notedAt = -1;
};

/** All runs of all workers, in the order of their starts. Thread-safe. */
class RunBook
{
public:
    explicit RunBook(Record &record)
        : m_record(record)
    {}
    std::size_t began(const std::string &worker, const std::string &task, std::uint64_t run);
    void ended(std::size_t index, const std::string &how);
    void noted(std::size_t index);
    std::vector<Start> all() const;
    std::vector<Start> ofJob(const std::string &job) const;
    /** Pairs of runs of one task that ran at the same time. */
    std::vector<std::pair<Start, Start>> overlaps() const;

private:
    Record &m_record;
    mutable std::mutex m_mutex;
    std::vector<Start> m_starts;
};

struct WorkerOptions
{
    std::string id;
    std::string ip;
    int port = 8080;
    std::string service;
    std::string zone;
    std::string kind = "a";
    std::string rack;
    std::int64_t cpu = 32'000;
    std::int64_t memory = 65'536;
};

/** A worker as the protocol's page describes it. The spec "ms=N" tells how long a task works. */
class Worker
{
public:
    Worker(WorkerOptions options, std::vector<std::string> controls, RunBook &runs, Record &record);
    ~Worker() { stop(); }
    bool start();
    void stop();
    const WorkerOptions &options() const { return m_options; }
    /** Until the time, what runs here, and what is started, fails by the worker's fault. */
    void failAllUntil(std::int64_t until);
    std::size_t runningCount() const;
    /** Calls that arrive after the next end get no response, and wait to be carried out late. */
    void delayCallsAfterNextEnd();
    /** Ends this life and starts the next one under the same id, which is heard of first after
     * \a silentMs. */
    void restart(std::int64_t silentMs);
    /** Carries out the delayed calls of this path. */
    void carryOutDelayed(const std::string &path);
    std::size_t delayedCount(const std::string &path) const;
    /** Calls that arrive from now on are answered. */
    void answerCalls();

private:
    struct Run
    {
        std::uint64_t number = 0;
        std::int64_t endsAt = 0;
        std::size_t index = 0;
    };
    struct End
    {
        std::uint64_t number = 0;
        std::string task;
        std::uint64_t run = 0;
        std::string how;
        std::size_t index = 0;
    };

    std::pair<int, std::string> handle(const Request &request);
    std::pair<int, std::string> carryOut(const Request &request, std::unique_lock<std::mutex> &lock,
                                         bool mayWait);
    std::pair<int, std::string> answer(int status, Json::Value json);
    std::pair<int, std::string> refuse(const char *reason);
    void end(const std::string &task, const char *how);
    void tick();
    void heartbeats();
    std::int64_t clock() const;

    WorkerOptions m_options;
    std::vector<std::string> m_controls;
    RunBook &m_book;
    Record &m_record;
    std::int64_t m_born;
    std::int64_t m_startedAt;
    Server m_server;
    std::thread m_ticker;
    std::thread m_beater;
    std::atomic<bool> m_isStopping{false};
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Run> m_runs;
    std::map<std::string, std::uint64_t> m_closedRuns;
    std::vector<End> m_ends;
    std::uint64_t m_lastEnd = 0;
    std::uint64_t m_fence = 0;
    std::int64_t m_leaseUntil = 0;
    std::int64_t m_failUntil = 0;
    std::uint64_t m_sequence = 0;
    std::int64_t m_silentUntil = 0;
    bool m_delaysAfterEnd = false;
    bool m_delaysCalls = false;
    std::vector<Request> m_delayed;
};

/** Finds every worker fit for every step. */
class Adviser
{
public:
    bool start(const std::string &ip, int port, double decideMs, double eachMs, int validMs);

private:
    Server m_server;
};

struct CellOptions
{
    int keepers = 3;
    int entries = 2;
    /** Entry hosts, by index, whose traffic between hosts passes a forwarder. */
    std::set<int> forwardedEntries;
};

/** The project's processes, with the command of the deploy file. */
class Cell
{
public:
    Cell(CellOptions options, Record &record);
    ~Cell() { stop(); }
    bool start();
    void stop();
    std::string ip(int third, int number) const;
    std::vector<std::string> controls() const;
    std::vector<std::string> fronts() const;
    std::string adviserIp() const { return ip(9, 250); }
    Forwarder &forwarder(int entry) { return *m_forwarders.at(entry); }
    /** True if all processes run as they were started. */
    bool areAllRunning();
    /** Sends a configuration as the operator does, until it is acknowledged. */
    bool putConfiguration(const Json::Value &document, std::int64_t timeoutMs);
    /** Waits until all entry hosts are ready. */
    bool waitUntilReady(std::int64_t timeoutMs);

private:
    void spawn(const std::string &name, bool isKeeper, int number, const std::string &peerIp);

    CellOptions m_options;
    Record &m_record;
    int m_block = 0;
    std::string m_folder;
    std::map<std::string, pid_t> m_processes;
    std::map<int, std::unique_ptr<Forwarder>> m_forwarders;
};

struct RouteOptions
{
    std::string name;
    std::string prefix;
    int priority = 0;
    int maxAttempts = 3;
    int targetRuntimeMs = 1000;
    bool hasAdvice = true;
};

struct TenantOptions
{
    std::string name;
    std::vector<std::string> keys;
    /** Thousandths of a core; 0 means no cap. */
    std::int64_t capCpu = 0;
};

extern const char *const QueueHost;
extern const char *const ServiceName;

Json::Value makeConfiguration(std::uint64_t version, const std::vector<RouteOptions> &routes,
                              const std::vector<TenantOptions> &tenants);

/** A call of a client on a job, recorded with its answer. */
Reply clientCall(Record &record, const std::string &front, const std::string &method,
                 const std::string &path, const std::string &key, const std::string &body = {});
/** The state in an answer to GET, or an empty text. */
std::string stateIn(const Reply &reply);

std::string toText(const Json::Value &json);
/** False if the script shall play without its disruption. */
bool hasTrouble();

enum Outcome { Held = 0, Broken = 1, CouldNotRun = 2 };

/** Runs a case within the time allowed; the last line of the record tells the outcome. */
int runCase(int argc, char **argv, Outcome (*play)(Record &));

} // namespace review
