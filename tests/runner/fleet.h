#pragma once

#include "drivers/http_client.h"
#include "tests/runner/relay.h"

#include <json/json.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace gentiancross::tests {

inline constexpr char OperatorKey[] = "operators-only-key";

/** One entry host of the fleet under test. */
struct FleetHost
{
    std::string name;
    std::string dataCentre;
    bool hasDisk = false;
    int number = 0;
    pid_t process = 0;
};

/** The process that runs the stand-in workers of one data centre. */
struct FleetWorkers
{
    std::string dataCentre;
    int number = 0;
    std::string arguments;
    pid_t process = 0;
};

/**
 * Owns the processes of a scenario: seven entry hosts in four data centres and their stand-in
 * workers, on loopback addresses, with a relay route between each pair of hosts in each direction.
 * The destructor kills every process that it started. Thread safety: one thread.
 */
class Fleet
{
public:
    struct Options
    {
        std::string binary;
        std::string standin;
        /** Folder for data and logs, new for each run. */
        std::string folder;
        /** Second octet of the loopback addresses, so that several fleets can run in parallel. */
        int net = 1;
        std::string extraArguments;
        std::vector<std::string> voters;
        /** Hosts to leave out, such as a data centre's second host. */
        std::vector<std::string> without;
    };

    explicit Fleet(Options options);
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;
    ~Fleet();

    /** Starts the relay. Returns false if it cannot listen on one of its addresses. */
    bool prepare();
    void start(const std::string &host);
    void startWorkers(const std::string &dataCentre, const std::string &arguments);
    void stopWorkers(const std::string &dataCentre);
    void signal(const std::string &host, int number);
    /** Sends SIGKILL to the host and waits for its process to exit. */
    void kill(const std::string &host);
    /** Waits for the host's process to exit. Returns its exit code, or -1 if it does not run or was
     * ended by a signal. */
    int waitForEnd(const std::string &host);
    /** Deletes the host's data folder. */
    void loseDisk(const std::string &host);
    /** Corrupts one byte of the host's journal, at the given percentage of the file's length. */
    void damageDisk(const std::string &host, int percent);
    /** Cuts or restores the traffic between two hosts in both directions. */
    void setCut(const std::string &first, const std::string &second, bool cut);

    [[nodiscard]] const std::vector<FleetHost> &hosts() const { return m_hosts; }
    [[nodiscard]] const FleetHost &host(const std::string &name) const;
    [[nodiscard]] std::string entryAddress(const std::string &host) const;
    [[nodiscard]] bool isRunning(const std::string &host) const;
    [[nodiscard]] std::vector<std::string> workerAddresses() const;
    [[nodiscard]] std::string workerAddress(const std::string &dataCentre) const;
    [[nodiscard]] const Options &options() const { return m_options; }
    /** Queries a host's view of the members. Returns false if it does not answer. */
    bool membersOf(const std::string &host, Json::Value &json) const;
    /** The authority of the data centre in the newest epoch that any host reports; empty if none is
     * known. */
    [[nodiscard]] std::string authorityOf(const std::string &dataCentre) const;
    /** The running host that leads the log in the newest term that any host reports; empty if none
     * is known. */
    [[nodiscard]] std::string leader() const;
    /** Bytes carried between this host and all others, in both directions. */
    std::uint64_t bytesCarried(const std::string &host);

private:
    /** A host named by a members report, with the epoch or term of the report. */
    struct VersionedHost
    {
        std::uint64_t version = 0;
        std::string host;
    };

    /** Queries all running hosts and returns the host with the highest version; empty if none is
     * reported. */
    std::string
    newestHost(const std::function<std::optional<VersionedHost>(const Json::Value &members)> &find)
            const;
    [[nodiscard]] std::string ip(int third, int fourth) const;
    [[nodiscard]] std::string hostListFor(const FleetHost &host) const;
    FleetHost &mutableHost(const std::string &name);

    Options m_options;
    std::vector<FleetHost> m_hosts;
    std::map<std::string, FleetWorkers> m_workers;
    Relay m_relay;
};

} // namespace gentiancross::tests
