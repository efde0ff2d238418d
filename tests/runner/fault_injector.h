#pragma once

#include "tests/runner/fleet.h"
#include "tests/runner/sender.h"

#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace gentiancross::tests {

/** Number of rounds and of faults, and the load that is sent meanwhile. */
struct FaultPlan
{
    std::int64_t rounds = 6;
    std::int64_t faultsAtOnce = 2;
    SendPlan load;
};

/**
 * Injects random faults while requests are sent: kills, freezes and cuts off hosts, cuts off data
 * centres, and restarts workers. The seed determines the sequence. Scenario calls it for the verb
 * "storm". Thread safety: one thread.
 */
class FaultInjector
{
public:
    using Print = std::function<void(const std::string &)>;

    FaultInjector(Fleet &fleet, Sender &sender, std::uint64_t seed, Print print);

    /** Runs all rounds. On return all faults are repaired and every request has ended. */
    void run(const FaultPlan &plan);

private:
    void injectFault();
    void injectHostFault(const std::string &host);
    void cutDataCentre(const std::string &dataCentre);
    void restartWorker();
    void heal();
    void pauseAtRandom();

    Fleet &m_fleet;
    Sender &m_sender;
    std::minstd_rand m_random;
    Print m_print;
    /** Host and kind of each fault that heal() has to repair. */
    std::vector<std::pair<std::string, std::string>> m_faults;
};

} // namespace gentiancross::tests
