#pragma once

#include "tests/soak/cell_processes.h"
#include "tests/soak/emulated_platform.h"
#include "tests/soak/soak_clients.h"
#include "tests/soak/soak_random.h"

#include <functional>
#include <string>
#include <vector>

namespace gentiancross::tests {

struct SoakOptions
{
    std::string binary;
    /** A new folder for settings, data, logs and what was seen. */
    std::string folder;
    std::uint32_t seed = 1;
    int secondOctet = 201;
    int seconds = 20;
    int keepers = 4;
    int entries = 3;
    int workers = 12;
    double jobsPerSecond = 5;
    int maxTasksPerStep = 8;
    /** False for a run that only measures. */
    bool injectsFaults = true;
};

/**
 * A cell of real processes under load, with faults injected from outside at random, by the seed.
 * Checks the promises while it runs and once all is well again. Thread safety: one thread.
 */
class Soak
{
public:
    explicit Soak(SoakOptions options);

    /** Returns true if every promise was kept. */
    bool run();
    void printSummary() const;

private:
    struct ScheduledRecovery
    {
        Instant at;
        std::function<void()> action;
    };

    bool startAll();
    bool waitUntilServing();
    void injectUntil(Instant end);
    void injectOne();
    /** Ends what is due; all of it if \a isAll. */
    void runDueRecoveries(bool isAll);
    void scheduleRecovery(std::int64_t milliseconds, std::function<void()> action);
    void checkUnexpectedExits();
    /** Waits until every accepted job is shown as completed. */
    void waitForCompletion();
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
    void changeConfiguration();
    void rotateKeys();
    void reloadSettings();

    bool putConfiguration(std::size_t control);
    [[nodiscard]] std::string configurationDocument(std::uint64_t version) const;
    std::string randomHost();
    std::string randomKeeper();
    [[nodiscard]] bool isStable();

    SoakOptions m_options;
    SystemClock m_clock;
    SoakRandom m_random;
    InvariantChecker m_checker;
    EmulatedPlatform m_platform;
    CellProcesses m_cell;
    SoakClients m_clients;
    std::vector<ScheduledRecovery> m_recoveries;
    std::uint64_t m_documentVersion = 0;
    std::uint64_t m_acknowledgedVersion = 0;
    std::vector<std::string> m_keys = {"key-1"};
    Instant m_lastDisturbance;
    std::int64_t m_ranMs = 0;
};

} // namespace gentiancross::tests
