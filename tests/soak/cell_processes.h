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
    /** True until its store has held records. */
    bool isFirstStart = true;
};

struct CellProcessOptions
{
    std::string binary;
    /** A new folder for settings, data and logs. */
    std::string folder;
    /** The second part of all addresses. */
    int secondOctet = 1;
    int keepers = 4;
    int entries = 3;
    std::string adviser;
};

/**
 * The processes of a cell on loopback addresses. What other hosts send to a host, and what callers
 * send to an entry host, goes through a relay, which can hold it back. Ends all that it started.
 * Thread safety: one thread.
 */
class CellProcesses
{
public:
    explicit CellProcesses(CellProcessOptions options);
    CellProcesses(const CellProcesses &) = delete;
    CellProcesses &operator=(const CellProcesses &) = delete;
    ~CellProcesses();

    /** Makes the relays. Returns false if an address can't be had. */
    bool startRelays();
    void start(const std::string &name);
    /** Kills the host and waits for its end. */
    void kill(const std::string &name);
    /** Tells the host to end; returns its exit code, or -1 if it had to be killed. */
    int terminate(const std::string &name);
    void setPaused(const std::string &name, bool paused);
    void reloadSettings(const std::string &name);
    void eraseDisk(const std::string &name);
    /** Holds back what other hosts send to this one. */
    void setPeersCut(const std::string &name, bool cut);
    /** Closes all connections that callers have to this entry host, without an end. */
    void resetCallers(const std::string &name);
    /** Holds back what callers send to this entry host, and its answers. */
    void setCallersCut(const std::string &name, bool cut);
    /** True if the process has ended by itself. */
    bool hasExited(const std::string &name);

    [[nodiscard]] std::vector<CellProcess> &hosts() { return m_hosts; }
    [[nodiscard]] std::vector<std::string> controlAddresses() const;
    [[nodiscard]] std::vector<std::string> frontAddresses() const;

private:
    CellProcess &find(const std::string &name);
    [[nodiscard]] std::string ip(int thirdOctet, int number) const;
    [[nodiscard]] std::string address(const CellProcess &host) const;
    void writeSettings(const CellProcess &host) const;

    CellProcessOptions m_options;
    std::vector<CellProcess> m_hosts;
    Relay m_relay;
};

} // namespace gentiancross::tests
