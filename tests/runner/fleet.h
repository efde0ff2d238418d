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

/** The stand-in workers of one data centre. */
struct FleetWorkers
{
    std::string dataCentre;
    int number = 0;
    std::string arguments;
    pid_t process = 0;
};

/**
 * Seven entry hosts in four data centres and their stand-in workers, as processes on loopback
 * addresses, with a relay between each two hosts. Ends every process that it started.
 * Thread safety: one thread.
 */
class Fleet
{
public:
    struct Options
    {
        std::string binary;
        std::string standin;
        /** A new folder for data and logs. */
        std::string folder;
        /** Second part of the addresses, so that fleets can run side by side. */
        int net = 1;
        std::string extraArguments;
        std::vector<std::string> voters;
        /** Removes a data centre's second host, and others that a scenario has no use for. */
        std::vector<std::string> without;
    };

    explicit Fleet(Options options);
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;
    ~Fleet();

    /** Makes the relays. Returns false if an address can't be had. */
    bool prepare();
    void start(const std::string &host);
    void startWorkers(const std::string &dataCentre, const std::string &arguments);
    void stopWorkers(const std::string &dataCentre);
    void signal(const std::string &host, int number);
    /** Kills the host and waits for its end. */
    void kill(const std::string &host);
    /** Waits for the end of a host that was told to end; returns its exit code, or -1. */
    int waitForEnd(const std::string &host);
    void loseDisk(const std::string &host);
    /** Changes a byte of the host's journal, at this part (in hundredths) of its length. */
    void damageDisk(const std::string &host, int percent);
    /** Cuts or heals what passes between two hosts, both ways. */
    void setCut(const std::string &first, const std::string &second, bool cut);

    [[nodiscard]] const std::vector<FleetHost> &hosts() const { return m_hosts; }
    [[nodiscard]] const FleetHost &host(const std::string &name) const;
    [[nodiscard]] std::string entry(const std::string &host) const;
    [[nodiscard]] bool isRunning(const std::string &host) const;
    [[nodiscard]] std::vector<std::string> workerAddresses() const;
    [[nodiscard]] std::string workerAddress(const std::string &dataCentre) const;
    [[nodiscard]] const Options &options() const { return m_options; }
    /** What a host says of the members; false if it does not answer. */
    bool membersOf(const std::string &host, Json::Value &json) const;
    /** The host that decides for the data centre, as the newest news has it; empty if none does. */
    [[nodiscard]] std::string authorityOf(const std::string &dataCentre) const;
    /** The running host that leads the log; empty if none is known. */
    [[nodiscard]] std::string leader() const;
    /** The bytes between this host and others, both ways. */
    std::uint64_t bytesCarried(const std::string &host);

private:
    /** Which host some host takes for the one in question, and how new that word is. */
    struct VersionedHost
    {
        std::uint64_t age = 0;
        std::string host;
    };

    /** The newest that any host tells; empty if none tells anything. */
    std::string newest(const std::function<std::optional<VersionedHost>(const Json::Value &members)>
                               &find) const;
    [[nodiscard]] std::string ip(int third, int fourth) const;
    [[nodiscard]] std::string hostListFor(const FleetHost &host) const;
    FleetHost &mutableHost(const std::string &name);

    Options m_options;
    std::vector<FleetHost> m_hosts;
    std::map<std::string, FleetWorkers> m_workers;
    Relay m_relay;
};

} // namespace gentiancross::tests
