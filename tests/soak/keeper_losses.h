#pragma once

#include "tests/soak/cell_processes.h"
#include "tests/soak/invariant_checker.h"
#include "tests/soak/soak_random.h"

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace gentiancross::tests {

/**
 * Plays losses that change the membership or the leader, within what the cell must bear: keepers
 * that are removed for good with successors at new addresses, all processes killed at once before
 * and after a successor counts, leaders that are cut off in one direction. Meanwhile operators read
 * the configuration. Owned by Soak. Thread safety: one thread.
 */
class KeeperLosses
{
public:
    /** All references must outlive this object. */
    KeeperLosses(CellProcesses &cell, SoakRandom &random, InvariantChecker &checker);
    KeeperLosses(const KeeperLosses &) = delete;
    KeeperLosses &operator=(const KeeperLosses &) = delete;
    ~KeeperLosses();

    void startReaders();
    void stopReaders();
    /** Plays one disturbance, and returns when all keepers count again. */
    void disturb();
    /** Reports exchanges that a keeper holds open past their deadline or without any caller. To be
     * called once callers have stopped. */
    void checkOpenExchanges();

private:
    void loseForGood(int count);
    void killAll();
    void cutLeader();
    void readConfiguration(std::size_t reader);
    void publishAddresses();
    /** The keeper that has logged last that it leads; empty if there is none. */
    [[nodiscard]] std::string leader() const;
    [[nodiscard]] std::vector<std::string> keepers() const;

    CellProcesses &m_cell;
    SoakRandom &m_random;
    InvariantChecker &m_checker;
    std::atomic<bool> m_isReading = false;
    std::mutex m_mutex;
    /** The control addresses of the present keepers, for the readers. */
    std::vector<std::string> m_addresses;
    std::vector<std::thread> m_readers;
};

} // namespace gentiancross::tests
