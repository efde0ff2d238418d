#pragma once

#include "drivers/http_client.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <sys/types.h>

namespace gentiancross::tests {

/** The limits in the settings file of a host under test. */
struct HostLimits
{
    std::size_t memoryMb = 0;
    std::size_t maxFds = 0;
};

/** One process of the cell, as seen from outside. */
struct HostProcess
{
    pid_t pid = 0;
    HostLimits limits;

    [[nodiscard]] bool isAlive() const;
    /** Peak of the resident memory, in MiB. */
    [[nodiscard]] std::size_t peakMemoryMb() const;
    [[nodiscard]] std::size_t openDescriptors() const;
};

/**
 * A keeper and an entry host as real processes on loopback addresses, with a configuration of one
 * route and two organisations with a key each. The destructor kills both. Thread safety: one
 * thread.
 */
class SmallCell
{
public:
    /** The crowds' key; ordinary callers that submit jobs have one of another organisation. */
    static constexpr char CrowdKey[] = "key";
    static constexpr char KeeperIp[] = "127.77.1.1";
    static constexpr char EntryIp[] = "127.77.1.2";
    static constexpr std::uint16_t ControlPort = 8180;
    static constexpr std::uint16_t FrontPort = 8183;
    static constexpr std::uint16_t ReadyPort = 8184;
    static constexpr std::uint16_t PeerPort = 7420;
    static constexpr std::uint16_t MetricsPort = 7421;

    SmallCell(std::string binary, std::string folder, HostLimits keeper, HostLimits entry);
    SmallCell(const SmallCell &) = delete;
    SmallCell &operator=(const SmallCell &) = delete;
    ~SmallCell();

    /** Starts both processes and stores the configuration, padded to about \a configurationBytes.
     * Returns false if the cell does not serve within 30 s. */
    bool start(std::size_t configurationBytes);
    /** Makes ordinary calls, of callers at the entry host and of the operator at the keeper, until
     * each is answered; false if one is not answered within 30 s. */
    bool answersOrdinaryCalls();
    /** Makes one call and waits for its end. */
    static HttpResult call(const std::string &method, const std::string &url,
                           const std::string &body, const std::string &key = CrowdKey);

    [[nodiscard]] const HostProcess &keeper() const { return m_keeper; }
    [[nodiscard]] const HostProcess &entry() const { return m_entry; }

private:
    void startProcess(HostProcess &host, const std::string &name, bool isKeeper) const;
    /** Submits a job of one task until it is accepted. */
    bool acceptsOrdinaryJob();

    std::string m_binary;
    std::string m_folder;
    HostProcess m_keeper;
    HostProcess m_entry;
    std::uint64_t m_ordinaryJobs = 0;
};

} // namespace gentiancross::tests
