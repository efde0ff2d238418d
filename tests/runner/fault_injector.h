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

/** How hard a storm is. */
struct FaultPlan
{
    std::int64_t rounds = 6;
    std::int64_t faultsAtOnce = 2;
    SendPlan load;
};

/**
 * Kills, freezes, cuts and heals hosts at random, by its seed, while requests are sent.
 * Thread safety: one thread.
 */
class FaultInjector
{
public:
    using Say = std::function<void(const std::string &)>;

    FaultInjector(Fleet &fleet, Sender &sender, std::uint64_t seed, Say say);

    /** Runs the storm; all is healed and every request has ended when it returns. */
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
    Say m_print;
    /** What was done to which host and will be undone. */
    std::vector<std::pair<std::string, std::string>> m_faults;
};

} // namespace gentiancross::tests
