#include "tests/runner/fault_injector.h"

#include "drivers/codec.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <thread>

namespace gentiancross::tests {

namespace {

constexpr std::minstd_rand::result_type MaxPauseMs = 3000;
constexpr std::minstd_rand::result_type RestartableWorkers = 4;
constexpr char RestartDataCentre[] = "hobart";
constexpr char Tag[] = "storm";

} // namespace

FaultInjector::FaultInjector(Fleet &fleet, Sender &sender, std::uint64_t seed, Say say)
    : m_fleet(fleet)
    , m_sender(sender)
    , m_random(static_cast<std::minstd_rand::result_type>(seed))
    , m_print(std::move(say))
{}

void FaultInjector::run(const FaultPlan &plan)
{
    SendPlan load = plan.load;
    const std::string prefix = load.namePrefix;
    for (std::int64_t round = 0; round < plan.rounds; ++round) {
        load.namePrefix = prefix + std::to_string(round) + '-';
        m_sender.send(Tag, load);
        for (std::int64_t fault = 0; fault < plan.faultsAtOnce; ++fault)
            injectFault();
        load.namePrefix = prefix + std::to_string(round) + "x-";
        m_sender.send(Tag, load);
        pauseAtRandom();
        heal();
        pauseAtRandom();
    }
    m_sender.await(Tag);
}

void FaultInjector::pauseAtRandom()
{
    std::this_thread::sleep_for(std::chrono::milliseconds(m_random() % MaxPauseMs));
}

void FaultInjector::injectFault()
{
    const std::vector<FleetHost> &hosts = m_fleet.hosts();
    const std::string host = hosts[m_random() % hosts.size()].name;
    const bool isHit = std::any_of(m_faults.begin(), m_faults.end(),
                                   [&](const auto &fault) { return fault.first == host; });
    if (!isHit)
        injectHostFault(host);
}

void FaultInjector::injectHostFault(const std::string &host)
{
    std::string fault;
    switch (m_random() % 5) {
    case 0:
        fault = "kill";
        m_fleet.kill(host);
        break;
    case 1:
        fault = "freeze";
        m_fleet.signal(host, SIGSTOP);
        break;
    case 2:
        fault = "cut";
        for (const FleetHost &other : m_fleet.hosts())
            m_fleet.setCut(host, other.name, true);
        break;
    case 3:
        fault = "cut-data-centre";
        cutDataCentre(m_fleet.host(host).dataCentre);
        break;
    default:
        restartWorker();
        return;
    }
    m_faults.emplace_back(host, fault);
    m_print("  " + fault + ' ' + host);
}

void FaultInjector::cutDataCentre(const std::string &dataCentre)
{
    for (const FleetHost &inside : m_fleet.hosts()) {
        for (const FleetHost &outside : m_fleet.hosts()) {
            if (inside.dataCentre == dataCentre && outside.dataCentre != dataCentre)
                m_fleet.setCut(inside.name, outside.name, true);
        }
    }
}

void FaultInjector::restartWorker()
{
    Json::Value json;
    json["mode"] = "restart";
    json["worker"] = Json::UInt64(m_random() % RestartableWorkers);
    callAndWait("POST", m_fleet.workerAddress(RestartDataCentre), "/control", {},
                codec::formatJson(json));
    m_print("  restarts a worker");
}

void FaultInjector::heal()
{
    for (const FleetHost &first : m_fleet.hosts()) {
        for (const FleetHost &second : m_fleet.hosts()) {
            if (first.name < second.name)
                m_fleet.setCut(first.name, second.name, false);
        }
    }
    for (const auto &[host, fault] : m_faults) {
        if (fault == "freeze")
            m_fleet.signal(host, SIGCONT);
        else if (fault == "kill")
            m_fleet.start(host);
    }
    m_faults.clear();
    m_print("  heals all");
}

} // namespace gentiancross::tests
