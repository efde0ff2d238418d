#include "tests/soak/soak.h"

#include "drivers/codec.h"
#include "tests/runner/sender.h"

#include <algorithm>
#include <iostream>

namespace gentiancross::tests {

namespace {

constexpr std::chrono::milliseconds StepTime{20};
constexpr Milliseconds StartTime{15'000};
constexpr Milliseconds OrderTimeout{1000};
/** All is well again: hosts are back, stores have caught up, the last job's tasks have run. */
constexpr Milliseconds SettleTime{30'000};
/** A disk may be lost only when the others have had time to catch up. */
constexpr Milliseconds CatchUpTime{7'000};
constexpr Milliseconds ReadBackTime{8'000};
constexpr int WorkersGroup = 9;

std::string netOf(const SoakOptions &options)
{
    return "127." + std::to_string(options.net) + '.' + std::to_string(WorkersGroup);
}

CellProcessOptions cellOptions(const SoakOptions &options, const std::string &adviser)
{
    return {options.binary, options.folder, options.net, options.keepers, options.entries, adviser};
}

ClientOptions clientOptions(const SoakOptions &options, const CellProcesses &cell)
{
    ClientOptions clients;
    clients.fronts = cell.fronts();
    clients.jobsPerSecond = options.jobsPerSecond;
    clients.widest = options.widest;
    clients.cancelEvery = options.injectsFaults ? clients.cancelEvery : 0;
    return clients;
}

PlatformOptions platformOptions(const SoakOptions &options)
{
    PlatformOptions platform;
    platform.workers = options.workers;
    platform.net = netOf(options);
    for (int number = 1; number <= options.keepers; ++number)
        platform.controls.push_back("127." + std::to_string(options.net) + ".1."
                                    + std::to_string(number) + ":8180");
    return platform;
}

double quantileOf(std::vector<double> values, double part)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[std::size_t(part * double(values.size() - 1))];
}

} // namespace

Soak::Soak(SoakOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_observations(m_options.folder + "/seen.txt")
    , m_platform(platformOptions(m_options), m_observations)
    , m_cell(cellOptions(m_options, m_platform.adviserAddress()))
    , m_clients(clientOptions(m_options, m_cell), m_options.seed, m_observations)
{}

bool Soak::run()
{
    if (!startAll() || !waitUntilServed()) {
        m_observations.broken("the cell does not serve after its start");
        return false;
    }
    const Instant begin = m_clock.now();
    m_clients.start();
    injectUntil(begin + Milliseconds(std::int64_t(m_options.seconds) * 1000));
    undoDue(true);
    m_clients.stopSubmitting();
    m_ranMs = (m_clock.now() - begin).value();
    m_observations.note("all faults are over");
    waitForCompletion();
    checkConfiguration();
    m_clients.stop();
    noteOwnEnds();
    return m_observations.breaches().empty();
}

bool Soak::startAll()
{
    if (!m_cell.prepare() || !m_platform.start())
        return false;
    for (const CellProcess &host : m_cell.hosts())
        m_cell.start(host.name);
    return true;
}

bool Soak::waitUntilServed()
{
    const Instant end = m_clock.now() + StartTime;
    m_version = 1;
    while (m_clock.now() < end) {
        if (putDocument(0)) {
            // Workers and hosts without a disk have heard of the leader by then.
            std::this_thread::sleep_for(std::chrono::seconds(2));
            return true;
        }
        std::this_thread::sleep_for(StepTime * 10);
    }
    return false;
}

std::string Soak::document(std::uint64_t version) const
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

bool Soak::putDocument(std::size_t control)
{
    const std::vector<std::string> controls = m_cell.controls();
    const HttpResult result
            = callAndWait("POST", controls[control % controls.size()], "/config/put", {},
                          document(m_version), {}, false, OrderTimeout);
    const bool isTaken = result.outcome == CallOutcome::Answered && result.response.status == 200;
    if (isTaken)
        m_acknowledged = std::max(m_acknowledged, m_version);
    m_observations.note("document " + std::to_string(m_version) + (isTaken ? " taken" : " open"));
    return isTaken;
}

void Soak::injectUntil(Instant end)
{
    Instant next = m_clock.now();
    while (m_clock.now() < end) {
        undoDue(false);
        noteOwnEnds();
        if (m_options.injectsFaults && m_clock.now() >= next) {
            injectOne();
            next = m_clock.now() + Milliseconds(m_random.between(50, 1500));
        }
        std::this_thread::sleep_for(StepTime);
    }
}

void Soak::injectOne()
{
    using Fault = void (Soak::*)();
    static const std::vector<Fault> faults = {
            &Soak::killHost,      &Soak::killHost,      &Soak::killAllKeepers,
            &Soak::pauseHost,     &Soak::pauseHost,     &Soak::terminateHost,
            &Soak::cutHost,       &Soak::cutHost,       &Soak::disturbCallers,
            &Soak::loseDisk,      &Soak::crashWorker,   &Soak::crashWorker,
            &Soak::silenceWorker, &Soak::silenceWorker, &Soak::changeConfiguration,
            &Soak::rotateKeys,    &Soak::hangUp,
    };
    const auto chosen = std::size_t(m_random.between(0, std::int64_t(faults.size()) - 1));
    (this->*faults[chosen])();
}

void Soak::undoLater(std::int64_t milliseconds, std::function<void()> action)
{
    m_undos.push_back({m_clock.now() + Milliseconds(milliseconds), std::move(action)});
}

void Soak::undoDue(bool isAll)
{
    std::vector<Undo> due;
    std::erase_if(m_undos, [&](const Undo &undo) {
        if (!isAll && undo.at > m_clock.now())
            return false;
        due.push_back(undo);
        return true;
    });
    for (const Undo &undo : due)
        undo.action();
}

void Soak::noteOwnEnds()
{
    for (const CellProcess &host : m_cell.hosts()) {
        if (m_cell.hasEnded(host.name))
            m_observations.broken("ended by itself: " + host.name);
    }
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

bool Soak::isCalm()
{
    const auto &hosts = m_cell.hosts();
    const bool areUp = std::all_of(hosts.begin(), hosts.end(), [](const CellProcess &host) {
        return host.process != 0 && !host.isPaused;
    });
    return areUp && m_clock.now() - m_lastDisturbance > CatchUpTime;
}

void Soak::killHost()
{
    const std::string host = randomHost();
    m_observations.note("kill " + host);
    m_lastDisturbance = m_clock.now();
    m_cell.kill(host);
    undoLater(m_random.between(0, 2500), [this, host] {
        m_observations.note("start " + host);
        m_lastDisturbance = m_clock.now();
        m_cell.start(host);
    });
}

void Soak::killAllKeepers()
{
    m_observations.note("kill all keepers");
    m_lastDisturbance = m_clock.now();
    for (int number = 1; number <= m_options.keepers; ++number)
        m_cell.kill("keeper-" + std::to_string(number));
    undoLater(m_random.between(0, 1500), [this] {
        m_observations.note("start all keepers");
        m_lastDisturbance = m_clock.now();
        for (int number = 1; number <= m_options.keepers; ++number)
            m_cell.start("keeper-" + std::to_string(number));
    });
}

void Soak::pauseHost()
{
    const std::string host = randomHost();
    m_observations.note("pause " + host);
    m_lastDisturbance = m_clock.now();
    m_cell.setPaused(host, true);
    undoLater(m_random.between(100, 5000), [this, host] {
        m_observations.note("continue " + host);
        m_lastDisturbance = m_clock.now();
        m_cell.setPaused(host, false);
    });
}

void Soak::terminateHost()
{
    const std::string host = randomHost();
    m_observations.note("terminate " + host);
    m_lastDisturbance = m_clock.now();
    const int code = m_cell.terminate(host);
    m_observations.note(host + " ended with " + std::to_string(code));
    undoLater(m_random.between(0, 1000), [this, host] {
        m_lastDisturbance = m_clock.now();
        m_cell.start(host);
    });
}

void Soak::cutHost()
{
    const std::string host = randomHost();
    m_observations.note("hold back what others send to " + host);
    m_lastDisturbance = m_clock.now();
    m_cell.setCut(host, true);
    undoLater(m_random.between(100, 5000), [this, host] {
        m_observations.note("let pass what others send to " + host);
        m_lastDisturbance = m_clock.now();
        m_cell.setCut(host, false);
    });
}

void Soak::disturbCallers()
{
    const std::string host = "entry-" + std::to_string(m_random.between(1, m_options.entries));
    if (m_random.chance(0.5)) {
        m_observations.note("reset callers of " + host);
        m_cell.resetCallers(host);
        return;
    }
    m_observations.note("hold back callers of " + host);
    m_cell.setCallersCut(host, true);
    undoLater(m_random.between(100, 2000), [this, host] { m_cell.setCallersCut(host, false); });
}

void Soak::loseDisk()
{
    if (!isCalm())
        return;
    const std::string host = randomKeeper();
    m_observations.note("lose the disk of " + host);
    m_lastDisturbance = m_clock.now();
    m_cell.kill(host);
    m_cell.loseDisk(host);
    undoLater(m_random.between(0, 1500), [this, host] {
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
    m_observations.note("silence " + workers[index]->id());
    workers[index]->setFault(WorkerFault::Silent);
    undoLater(m_random.between(300, 6000),
              [this, index] { m_platform.workers()[index]->setFault(WorkerFault::None); });
}

void Soak::changeConfiguration()
{
    m_version += std::uint64_t(m_random.between(1, 3));
    // Sent to two hosts in turn, as operators do that got no answer from the first.
    const auto control = std::size_t(m_random.between(0, m_options.keepers - 1));
    putDocument(control);
    putDocument(control + 1);
}

void Soak::rotateKeys()
{
    const std::string key = "key-" + std::to_string(m_version + 1);
    m_keys.push_back(key);
    ++m_version;
    if (!putDocument(std::size_t(m_random.between(0, m_options.keepers - 1))))
        return;
    m_clients.useKey(key);
}

void Soak::hangUp()
{
    m_cell.hangUp(randomHost());
}

void Soak::waitForCompletion()
{
    const Instant end = m_clock.now() + SettleTime;
    while (m_clock.now() < end && !m_observations.unfinished().empty())
        std::this_thread::sleep_for(StepTime);
    for (const std::string &job : m_observations.unfinished())
        m_observations.broken("accepted and never completed: " + job);
}

void Soak::checkConfiguration()
{
    const std::vector<std::string> controls = m_cell.controls();
    const Instant end = m_clock.now() + ReadBackTime;
    for (std::size_t turn = 0; m_clock.now() < end; ++turn) {
        const HttpResult result = callAndWait("GET", controls[turn % controls.size()],
                                              "/config/get", {}, {}, {}, false, OrderTimeout);
        Json::Value json;
        const bool isRead = result.outcome == CallOutcome::Answered && result.response.status == 200
                && codec::parseJson(*result.response.body, json);
        if (!isRead) {
            std::this_thread::sleep_for(StepTime);
            continue;
        }
        if (json["version"].asUInt64() < m_acknowledged)
            m_observations.broken("an acknowledged configuration is gone");
        return;
    }
    m_observations.broken("the configuration can't be read back");
}

void Soak::printSummary() const
{
    const std::vector<double> waits = m_observations.waits();
    std::cout << "seed " << m_options.seed << ": " << m_observations.starts() << " starts, "
              << waits.size() << " jobs, wait p50 " << quantileOf(waits, 0.5) << " ms, p95 "
              << quantileOf(waits, 0.95) << " ms, starts a second "
              << double(m_observations.starts()) * 1000 / double(std::max<std::int64_t>(m_ranMs, 1))
              << ", " << m_observations.breaches().size() << " broken\n";
}

} // namespace gentiancross::tests
