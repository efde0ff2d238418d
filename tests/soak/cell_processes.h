#pragma once

#include "tests/runner/relay.h"

#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

namespace gentiancross::tests {

/** One host of the cell under test. */
struct CellProcess
{
    std::string name;
    bool isKeeper = false;
    int number = 0;
    pid_t pid = 0;
    bool isPaused = false;
    /** True until the first start, which may bootstrap the cell on an empty store. */
    bool isFirstStart = true;
};

struct CellProcessOptions
{
    std::string binary;
    /** Folder of this run alone for settings, data and logs. */
    std::string folder;
    /** The second octet of all loopback addresses of the cell. */
    int secondOctet = 1;
    int keepers = 4;
    int entries = 3;
    std::string adviser;
    /** How many keepers may be lost at the same time. */
    int tolerance = 1;
    /** How many keepers can be added during the run. */
    int successors = 0;
};

/**
 * Owns the host processes of a cell on loopback addresses; called by Soak. Traffic from peers to a
 * host and from callers to an entry host passes through a relay, which can block it. The destructor
 * kills all processes that are still running. Thread safety: one thread.
 */
class CellProcesses
{
public:
    explicit CellProcesses(CellProcessOptions options);
    CellProcesses(const CellProcesses &) = delete;
    CellProcesses &operator=(const CellProcesses &) = delete;
    ~CellProcesses();

    /** Returns false if a relay cannot bind its address. */
    bool startRelays();
    void start(const std::string &name);
    /** Sends SIGKILL and waits until the process has exited. */
    void kill(const std::string &name);
    /**
     * Sends SIGTERM and waits; returns the exit code, or -1 if a signal ended the process or it had
     * to be killed.
     */
    int terminate(const std::string &name);
    void setPaused(const std::string &name, bool paused);
    /** Rewrites the settings file and sends SIGHUP. */
    void reloadSettings(const std::string &name);
    void eraseDisk(const std::string &name);
    /** Removes a keeper for good, with its disk; kills it if it is running. */
    void remove(const std::string &name);
    /** Starts a keeper with an empty disk at a new address, and returns its name. Precondition:
     * fewer than `successors` were added. */
    std::string addKeeper();
    /** Blocks or unblocks the traffic from other hosts to this one. */
    void setPeersCut(const std::string &name, bool cut);
    /** Resets all connections of callers to this entry host, without an orderly close. */
    void resetCallers(const std::string &name);
    /** Blocks or unblocks requests of callers to this entry host and its responses. */
    void setCallersCut(const std::string &name, bool cut);
    /** Reaps the process and returns true if it has exited without being told to. */
    bool hasExited(const std::string &name);

    [[nodiscard]] const std::vector<CellProcess> &hosts() const { return m_hosts; }
    [[nodiscard]] int tolerance() const { return m_options.tolerance; }
    /** The last term in which the host has logged that it leads; -1 if there is none. */
    [[nodiscard]] long lastTermLed(const std::string &name) const;
    [[nodiscard]] std::vector<std::string> metricsAddresses() const;
    [[nodiscard]] std::vector<std::string> controlAddresses() const;
    [[nodiscard]] std::vector<std::string> frontAddresses() const;

private:
    /** The host, or null if it was removed. */
    CellProcess *find(const std::string &name);
    [[nodiscard]] std::string ip(int thirdOctet, int number) const;
    [[nodiscard]] std::string address(const CellProcess &host) const;
    void writeSettings(const CellProcess &host) const;

    CellProcessOptions m_options;
    std::vector<CellProcess> m_hosts;
    /** The number of the host that was added last. */
    int m_lastNumber = 0;
    Relay m_relay;
};

} // namespace gentiancross::tests
