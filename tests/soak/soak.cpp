#include "tests/soak/soak.h"

#include "drivers/codec.h"
#include "tests/runner/sender.h"

#include <algorithm>
#include <iostream>

namespace gentiancross::tests {

namespace {

constexpr std::chrono::milliseconds LoopInterval{20};
constexpr Milliseconds StartTimeout{15'000};
constexpr Milliseconds ControlCallTimeout{1000};
/** Time to settle: hosts restart, stores catch up, and the tasks of the last job run. */
constexpr Milliseconds SettleTimeout{30'000};
/** A disk is erased only after the other keepers have had time to catch up. */
constexpr Milliseconds CatchUpTime{7'000};
constexpr Milliseconds ReadBackTimeout{8'000};
constexpr int WorkersOctet = 9;
/** Enough for the losses of some minutes. */
constexpr int MaxSuccessors = 120;
/** Short enough that runs end before the leader learns of the worker's next incarnation. */
constexpr std::int64_t ShortRunMs = 250;

std::string workerAddressPrefix(const SoakOptions &options)
{
    return "127." + std::to_string(options.secondOctet) + '.' + std::to_string(WorkersOctet);
}

CellProcessOptions cellOptions(const SoakOptions &options, const std::string &adviser)
{
    CellProcessOptions cell{options.binary,  options.folder,  options.secondOctet,
                            options.keepers, options.entries, adviser};
    if (options.replacesKeepers) {
        cell.tolerance = (options.keepers - 1) / 2;
        cell.successors = MaxSuccessors;
    }
    return cell;
}

ClientOptions clientOptions(const SoakOptions &options, const CellProcesses &cell)
{
    ClientOptions clients;
    clients.frontAddresses = cell.frontAddresses();
    clients.jobsPerSecond = options.jobsPerSecond;
    clients.maxTasksPerStep = options.maxTasksPerStep;
    if (options.mixesIncarnations)
        clients.runMs = ShortRunMs;
    clients.cancelEvery = options.injectsFaults ? clients.cancelEvery : 0;
    return clients;
}

PlatformOptions platformOptions(const SoakOptions &options)
{
    PlatformOptions platform;
    platform.workers = options.workers;
    platform.addressPrefix = workerAddressPrefix(options);
    for (int number = 1; number <= options.keepers; ++number)
        platform.controlAddresses.push_back("127." + std::to_string(options.secondOctet) + ".1."
                                            + std::to_string(number) + ":8180");
    return platform;
}

double quantileOf(std::vector<double> values, double fraction)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[std::size_t(fraction * double(values.size() - 1))];
}

} // namespace

Soak::Soak(SoakOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_checker(m_options.folder + "/seen.txt")
    , m_platform(platformOptions(m_options), m_checker)
    , m_cell(cellOptions(m_options, m_platform.adviserAddress()))
    , m_clients(clientOptions(m_options, m_cell), m_options.seed, m_checker)
    , m_losses(m_cell, m_random, m_checker)
{}

bool Soak::run()
{
    if (!startAll() || !waitUntilServing()) {
        m_checker.reportViolation(
                "cell did not start or did not accept its first configuration in time");
        return false;
    }
    const Instant begin = m_clock.now();
    m_clients.start();
    const Instant end = begin + Milliseconds(std::int64_t(m_options.seconds) * 1000);
    if (m_options.replacesKeepers)
        loseKeepersUntil(end);
    else
        injectUntil(end);
    // A recovery may schedule another one.
    while (!m_recoveries.empty())
        runDueRecoveries(true);
    m_clients.stopSubmitting();
    m_ranMs = (m_clock.now() - begin).value();
    m_checker.recordEvent("all faults have ended");
    waitForCompletion();
    checkConfiguration();
    m_clients.stop();
    checkUnexpectedExits();
    m_losses.checkOpenExchanges();
    return m_checker.violations().empty();
}

bool Soak::startAll()
{
    if (!m_cell.startRelays() || !m_platform.start())
        return false;
    for (const CellProcess &host : m_cell.hosts())
        m_cell.start(host.name);
    return true;
}

bool Soak::waitUntilServing()
{
    const Instant end = m_clock.now() + StartTimeout;
    m_documentVersion = 1;
    while (m_clock.now() < end) {
        if (putConfiguration(0)) {
            // By then the workers and the hosts without a disk have learned who leads.
            std::this_thread::sleep_for(std::chrono::seconds(2));
            return true;
        }
        std::this_thread::sleep_for(LoopInterval * 10);
    }
    return false;
}

std::string Soak::configurationDocument(std::uint64_t version) const
{
    Json::Value json;
    json["version"] = Json::UInt64(version);
    Json::Value route;
    route["name"] = "checks";
    route["host"] = "jobs.example";
    route["path_prefix"] = "/q/";
    route["kind"] = "unsafe";
    route["timeout_ms"] = 3000;
    route["target_runtime_ms"] = 250;
    route["priority"] = 0;
    route["service"] = "pool";
    route["max_attempts"] = 3;
    route["stretch"] = 1.5;
    route["advice"]["decide_ms"] = 10;
    route["advice"]["each_ms"] = 0.1;
    route["advice"]["valid_ms"] = 2500;
    json["routes"].append(route);
    Json::Value service;
    service["name"] = "pool";
    json["services"].append(service);
    Json::Value tenant;
    tenant["name"] = "alpha";
    for (const std::string &key : m_keys)
        tenant["api_keys"].append(key);
    json["tenants"].append(tenant);
    return codec::formatJson(json);
}

bool Soak::putConfiguration(std::size_t control)
{
    const std::vector<std::string> controlAddresses = m_cell.controlAddresses();
    const HttpResult result = callAndWait(
            "POST", controlAddresses[control % controlAddresses.size()], "/config/put", {},
            configurationDocument(m_documentVersion), {}, false, ControlCallTimeout);
    const bool isAccepted
            = result.outcome == CallOutcome::Answered && result.response.status == 200;
    if (isAccepted)
        m_acknowledgedVersion = std::max(m_acknowledgedVersion, m_documentVersion);
    m_checker.recordEvent("document " + std::to_string(m_documentVersion)
                          + (isAccepted ? " accepted" : " unconfirmed"));
    return isAccepted;
}

void Soak::injectUntil(Instant end)
{
    Instant next = m_clock.now();
    while (m_clock.now() < end) {
        runDueRecoveries(false);
        checkUnexpectedExits();
        if (m_options.injectsFaults && m_clock.now() >= next) {
            injectOne();
            next = m_clock.now() + Milliseconds(m_random.between(50, 1500));
        }
        std::this_thread::sleep_for(LoopInterval);
    }
}

void Soak::loseKeepersUntil(Instant end)
{
    m_losses.startReaders();
    while (m_clock.now() < end) {
        m_losses.disturb();
        m_platform.setControlAddresses(m_cell.controlAddresses());
        changeConfiguration();
        checkUnexpectedExits();
    }
    m_losses.stopReaders();
}

void Soak::injectOne()
{
    using Fault = void (Soak::*)();
    std::vector<Fault> faults = {
            &Soak::killHost,      &Soak::killHost,       &Soak::killAllKeepers,
            &Soak::pauseHost,     &Soak::pauseHost,      &Soak::terminateHost,
            &Soak::isolateHost,   &Soak::isolateHost,    &Soak::disruptCallers,
            &Soak::eraseDisk,     &Soak::crashWorker,    &Soak::crashWorker,
            &Soak::silenceWorker, &Soak::silenceWorker,  &Soak::changeConfiguration,
            &Soak::rotateKeys,    &Soak::reloadSettings,
    };
    constexpr std::size_t LossWeight = 6;
    if (m_options.losesResponses)
        faults.insert(faults.end(), LossWeight, &Soak::loseResponses);
    constexpr std::size_t IncarnationWeight = 12;
    if (m_options.mixesIncarnations) {
        faults.insert(faults.end(), IncarnationWeight, &Soak::mixIncarnations);
        faults.insert(faults.end(), IncarnationWeight / 2, &Soak::sendForeignHeartbeats);
    }
    const auto chosen = std::size_t(m_random.between(0, std::int64_t(faults.size()) - 1));
    (this->*faults[chosen])();
}

void Soak::scheduleRecovery(std::int64_t milliseconds, std::function<void()> action)
{
    m_recoveries.push_back({m_clock.now() + Milliseconds(milliseconds), std::move(action)});
}

void Soak::runDueRecoveries(bool isAll)
{
    std::vector<ScheduledRecovery> due;
    std::erase_if(m_recoveries, [&](const ScheduledRecovery &recovery) {
        if (!isAll && recovery.at > m_clock.now())
            return false;
        due.push_back(recovery);
        return true;
    });
    for (const ScheduledRecovery &recovery : due)
        recovery.action();
}

void Soak::checkUnexpectedExits()
{
    for (const CellProcess &host : m_cell.hosts()) {
        if (m_cell.hasExited(host.name))
            m_checker.reportViolation("host process exited unexpectedly: " + host.name);
    }
}

std::size_t Soak::randomWorker()
{
    return std::size_t(m_random.between(0, m_options.workers - 1));
}

std::string Soak::randomHost()
{
    const auto &hosts = m_cell.hosts();
    return hosts[std::size_t(m_random.between(0, std::int64_t(hosts.size()) - 1))].name;
}

std::string Soak::randomKeeper()
{
    return "keeper-" + std::to_string(m_random.between(1, m_options.keepers));
}

bool Soak::isStable()
{
    const auto &hosts = m_cell.hosts();
    const bool areUp = std::all_of(hosts.begin(), hosts.end(), [](const CellProcess &host) {
        return host.pid != 0 && !host.isPaused;
    });
    return areUp && m_clock.now() - m_lastDisturbance > CatchUpTime;
}

void Soak::killHost()
{
    const std::string host = randomHost();
    m_checker.recordEvent("kill " + host);
    m_lastDisturbance = m_clock.now();
    m_cell.kill(host);
    scheduleRecovery(m_random.between(0, 2500), [this, host] {
        m_checker.recordEvent("start " + host);
        m_lastDisturbance = m_clock.now();
        m_cell.start(host);
    });
}

void Soak::killAllKeepers()
{
    m_checker.recordEvent("kill all keepers");
    m_lastDisturbance = m_clock.now();
    for (int number = 1; number <= m_options.keepers; ++number)
        m_cell.kill("keeper-" + std::to_string(number));
    scheduleRecovery(m_random.between(0, 1500), [this] {
        m_checker.recordEvent("start all keepers");
        m_lastDisturbance = m_clock.now();
        for (int number = 1; number <= m_options.keepers; ++number)
            m_cell.start("keeper-" + std::to_string(number));
    });
}

void Soak::pauseHost()
{
    const std::string host = randomHost();
    m_checker.recordEvent("pause " + host);
    m_lastDisturbance = m_clock.now();
    m_cell.setPaused(host, true);
    scheduleRecovery(m_random.between(100, 5000), [this, host] {
        m_checker.recordEvent("resume " + host);
        m_lastDisturbance = m_clock.now();
        m_cell.setPaused(host, false);
    });
}

void Soak::terminateHost()
{
    const std::string host = randomHost();
    m_checker.recordEvent("terminate " + host);
    m_lastDisturbance = m_clock.now();
    const int code = m_cell.terminate(host);
    m_checker.recordEvent(host + " exited with code " + std::to_string(code));
    scheduleRecovery(m_random.between(0, 1000), [this, host] {
        m_lastDisturbance = m_clock.now();
        m_cell.start(host);
    });
}

void Soak::isolateHost()
{
    const std::string host = randomHost();
    m_checker.recordEvent("block peer traffic to " + host);
    m_lastDisturbance = m_clock.now();
    m_cell.setPeersCut(host, true);
    scheduleRecovery(m_random.between(100, 5000), [this, host] {
        m_checker.recordEvent("unblock peer traffic to " + host);
        m_lastDisturbance = m_clock.now();
        m_cell.setPeersCut(host, false);
    });
}

void Soak::disruptCallers()
{
    const std::string host = "entry-" + std::to_string(m_random.between(1, m_options.entries));
    if (m_random.chance(0.5)) {
        m_checker.recordEvent("reset caller connections of " + host);
        m_cell.resetCallers(host);
        return;
    }
    m_checker.recordEvent("block caller traffic of " + host);
    m_cell.setCallersCut(host, true);
    scheduleRecovery(m_random.between(100, 2000),
                     [this, host] { m_cell.setCallersCut(host, false); });
}

void Soak::eraseDisk()
{
    if (!isStable())
        return;
    const std::string host = randomKeeper();
    m_checker.recordEvent("erase the disk of " + host);
    m_lastDisturbance = m_clock.now();
    m_cell.kill(host);
    m_cell.eraseDisk(host);
    scheduleRecovery(m_random.between(0, 1500), [this, host] {
        m_lastDisturbance = m_clock.now();
        m_cell.start(host);
    });
}

void Soak::crashWorker()
{
    auto &workers = m_platform.workers();
    workers[std::size_t(m_random.between(0, m_options.workers - 1))]->crash();
}

void Soak::silenceWorker()
{
    auto &workers = m_platform.workers();
    const auto index = std::size_t(m_random.between(0, m_options.workers - 1));
    m_checker.recordEvent("silence " + workers[index]->id());
    workers[index]->setFault(WorkerFault::Silent);
    scheduleRecovery(m_random.between(300, 6000),
                     [this, index] { m_platform.workers()[index]->setFault(WorkerFault::None); });
}

void Soak::loseResponses()
{
    const std::int64_t share = m_random.between(2, 6);
    const std::int64_t length = m_random.between(300, 3000);
    m_checker.recordEvent("one in " + std::to_string(share) + " workers loses responses");
    for (std::size_t index = 0; index < m_platform.workers().size(); ++index) {
        if (!m_random.chance(1.0 / double(share)))
            continue;
        m_platform.workers()[index]->setFault(WorkerFault::LosesResponses);
        scheduleRecovery(length, [this, index] {
            m_platform.workers()[index]->setFault(WorkerFault::None);
        });
    }
    if (m_random.chance(0.4))
        scheduleRecovery(m_random.between(0, length), [this] { killAllKeepers(); });
}

void Soak::mixIncarnations()
{
    constexpr int Share = 4;
    constexpr int LeaveShare = 12;
    constexpr std::int64_t MaxRestarts = 3;
    const std::int64_t length = m_random.between(500, 4000);
    m_checker.recordEvent("workers execute orders late and start again");
    for (std::size_t index = 0; index < m_platform.workers().size(); ++index) {
        if (m_random.chance(1.0 / LeaveShare))
            leaveLate(index);
        if (!m_random.chance(1.0 / Share))
            continue;
        m_platform.workers()[index]->setFault(WorkerFault::ExecutesLate);
        scheduleRecovery(length, [this, index] {
            m_platform.workers()[index]->setFault(WorkerFault::None);
        });
        const std::int64_t restarts = m_random.between(0, MaxRestarts);
        for (std::int64_t number = 0; number < restarts; ++number) {
            // Without a heartbeat at once, late messages can come before the leader knows.
            const bool isAnnounced = m_random.chance(0.3);
            scheduleRecovery(m_random.between(50, length), [this, index, isAnnounced] {
                m_platform.workers()[index]->crash();
                if (isAnnounced)
                    m_platform.sendHeartbeat(index);
            });
        }
    }
    if (m_random.chance(0.4))
        scheduleRecovery(m_random.between(0, length), [this] { killAllKeepers(); });
}

void Soak::leaveLate(std::size_t worker)
{
    m_checker.recordEvent("drain " + m_platform.workers()[worker]->id());
    m_platform.workers()[worker]->setDraining(true);
    m_platform.sendHeartbeat(worker);
    const std::int64_t delay = m_random.between(0, 4000);
    scheduleRecovery(m_random.between(500, 2500), [this, worker, delay] {
        EmulatedWorker &leaving = *m_platform.workers()[worker];
        const std::int64_t bornMs = leaving.bornMs();
        leaving.crash();
        leaving.setDraining(false);
        m_platform.sendHeartbeat(worker);
        scheduleRecovery(delay, [this, worker, bornMs] {
            m_checker.recordEvent("late leave call of " + m_platform.workers()[worker]->id());
            m_platform.sendLeave(worker, bornMs);
        });
    });
}

void Soak::sendForeignHeartbeats()
{
    constexpr std::int64_t MaxCount = 6;
    constexpr std::int64_t MaxBirthShiftMs = 2000;
    const std::int64_t count = m_random.between(1, MaxCount);
    for (std::int64_t number = 0; number < count; ++number) {
        const std::size_t worker = randomWorker();
        ForeignHeartbeat foreign{m_random.between(0, 3), m_random.chance(0.3), 0};
        if (m_random.chance(0.5))
            foreign.birthShiftMs = m_random.between(-MaxBirthShiftMs, MaxBirthShiftMs);
        m_checker.recordEvent("heartbeat of another writer about "
                              + m_platform.workers()[worker]->id());
        m_platform.sendForeignHeartbeat(worker, foreign);
    }
}

void Soak::changeConfiguration()
{
    m_documentVersion += std::uint64_t(m_random.between(1, 3));
    // Sent to two hosts in turn, as by an operator who got no response from the first.
    const auto control = std::size_t(m_random.between(0, m_options.keepers - 1));
    putConfiguration(control);
    putConfiguration(control + 1);
}

void Soak::rotateKeys()
{
    const std::string key = "key-" + std::to_string(m_documentVersion + 1);
    m_keys.push_back(key);
    ++m_documentVersion;
    if (!putConfiguration(std::size_t(m_random.between(0, m_options.keepers - 1))))
        return;
    m_clients.useKey(key);
}

void Soak::reloadSettings()
{
    m_cell.reloadSettings(randomHost());
}

void Soak::waitForCompletion()
{
    const Instant end = m_clock.now() + SettleTimeout;
    while (m_clock.now() < end && !m_checker.unfinishedJobs().empty())
        std::this_thread::sleep_for(LoopInterval);
    for (const std::string &job : m_checker.unfinishedJobs())
        m_checker.reportViolation("accepted job did not complete after all faults ended: " + job);
}

void Soak::checkConfiguration()
{
    const std::vector<std::string> controlAddresses = m_cell.controlAddresses();
    const Instant end = m_clock.now() + ReadBackTimeout;
    for (std::size_t turn = 0; m_clock.now() < end; ++turn) {
        const HttpResult result
                = callAndWait("GET", controlAddresses[turn % controlAddresses.size()],
                              "/config/get", {}, {}, {}, false, ControlCallTimeout);
        Json::Value json;
        const bool isRead = result.outcome == CallOutcome::Answered && result.response.status == 200
                && codec::parseJson(*result.response.body, json);
        if (!isRead) {
            std::this_thread::sleep_for(LoopInterval);
            continue;
        }
        if (json["version"].asUInt64() < m_acknowledgedVersion)
            m_checker.reportViolation(
                    "acknowledged configuration lost: an older version was read back");
        return;
    }
    m_checker.reportViolation("configuration could not be read back");
}

void Soak::printSummary() const
{
    const std::vector<double> startDelaysMs = m_checker.startDelaysMs();
    std::cout << "seed " << m_options.seed << ": " << m_checker.startCount() << " starts, "
              << startDelaysMs.size() << " jobs, wait p50 " << quantileOf(startDelaysMs, 0.5)
              << " ms, p95 " << quantileOf(startDelaysMs, 0.95) << " ms, starts a second "
              << double(m_checker.startCount()) * 1000 / double(std::max<std::int64_t>(m_ranMs, 1))
              << ", " << m_checker.violations().size() << " broken\n";
    if (!m_options.mixesIncarnations)
        return;
    for (const auto &[kind, count] : m_checker.eventCounts())
        std::cout << "  " << kind << ": " << count << '\n';
}

} // namespace gentiancross::tests
