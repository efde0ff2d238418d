#pragma once

#include "tests/soak/cell_processes.h"
#include "tests/soak/emulated_platform.h"
#include "tests/soak/keeper_losses.h"
#include "tests/soak/soak_clients.h"
#include "tests/soak/soak_random.h"

#include <functional>
#include <string>
#include <vector>

namespace gentiancross::tests {

struct SoakOptions
{
    std::string binary;
    /** Folder of this run alone for settings, data, logs and the trace of observations. */
    std::string folder;
    std::uint32_t seed = 1;
    /** The second octet of all loopback addresses. */
    int secondOctet = 201;
    int seconds = 20;
    int keepers = 4;
    int entries = 3;
    int workers = 12;
    double jobsPerSecond = 5;
    int maxTasksPerStep = 8;
    /** False for a run that only measures throughput and waits. */
    bool injectsFaults = true;
    /** True if workers also lose responses, together with losses of all keepers. The faults of a
     * seed differ from those without this. */
    bool losesResponses = false;
    /** True if messages also reach a worker's next incarnation: late orders, acknowledgements and
     * leave calls, beside heartbeats of other writers. The faults of a seed differ from those
     * without this. */
    bool mixesIncarnations = false;
    /** True for a run that plays only losses of keepers for good, of all keepers at once and of the
     * leader's connections (see KeeperLosses). */
    bool replacesKeepers = false;
};

/**
 * Owns a cell of real processes under load and injects random faults from outside, determined by
 * the seed. The guarantees are checked during the run and again after all faults have ended. Called
 * by the main function of the soak. Thread safety: one thread.
 */
class Soak
{
public:
    explicit Soak(SoakOptions options);

    /** Returns true if no guarantee was violated. */
    bool run();
    void printSummary() const;

private:
    /** Ends an injected fault at its time. */
    struct ScheduledRecovery
    {
        Instant at;
        std::function<void()> action;
    };

    bool startAll();
    bool waitUntilServing();
    void injectUntil(Instant end);
    void injectOne();
    void loseKeepersUntil(Instant end);
    /** Ends the faults whose time is up, or all of them if \a isAll. */
    void runDueRecoveries(bool isAll);
    void scheduleRecovery(std::int64_t milliseconds, std::function<void()> action);
    void checkUnexpectedExits();
    /** Waits until every accepted job is reported as completed. */
    void waitForCompletion();
    /** Checks that the last acknowledged configuration was not lost. */
    void checkConfiguration();

    void killHost();
    void killAllKeepers();
    void pauseHost();
    void terminateHost();
    void isolateHost();
    void disruptCallers();
    void eraseDisk();
    void crashWorker();
    void silenceWorker();
    /** Makes part of the workers lose responses, and often kills all keepers meanwhile. */
    void loseResponses();
    /** Makes part of the workers execute orders late, and starts some of them again meanwhile. */
    void mixIncarnations();
    /** Lets a worker drain and start again under its name; its leave call arrives later. */
    void leaveLate(std::size_t worker);
    void sendForeignHeartbeats();
    void changeConfiguration();
    void rotateKeys();
    void reloadSettings();

    bool putConfiguration(std::size_t control);
    [[nodiscard]] std::string configurationDocument(std::uint64_t version) const;
    std::size_t randomWorker();
    std::string randomHost();
    std::string randomKeeper();
    /** True if all hosts run and have had time to catch up since the last fault. */
    [[nodiscard]] bool isStable();

    SoakOptions m_options;
    SystemClock m_clock;
    SoakRandom m_random;
    InvariantChecker m_checker;
    EmulatedPlatform m_platform;
    CellProcesses m_cell;
    SoakClients m_clients;
    KeeperLosses m_losses;
    std::vector<ScheduledRecovery> m_recoveries;
    std::uint64_t m_documentVersion = 0;
    std::uint64_t m_acknowledgedVersion = 0;
    std::vector<std::string> m_keys = {"key-1"};
    Instant m_lastDisturbance;
    std::int64_t m_ranMs = 0;
};

} // namespace gentiancross::tests
