#include "tests/soak/cell_processes.h"

#include "drivers/codec.h"
#include "tests/runner/spawn.h"

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace gentiancross::tests {

namespace {

constexpr std::uint16_t ControlPort = 8180;
constexpr std::uint16_t FrontPort = 8183;
constexpr std::uint16_t ReadyPort = 8184;
constexpr std::uint16_t PeerPort = 7420;
constexpr int LastPeerPort = 7435;
/** Third octets of the addresses: where a host is reached, and where it or its relay listens. */
constexpr int HostOctet = 1;
constexpr int PeerListenOctet = 2;
constexpr int CallerOctet = 3;
constexpr int SeedCount = 3;
/** The platform sends SIGKILL this long after SIGTERM. */
constexpr std::chrono::milliseconds TerminationGrace{6000};
constexpr std::chrono::milliseconds ExitPollInterval{20};

std::string peerRoute(const std::string &name)
{
    return "peers>" + name;
}

std::string callerRoute(const std::string &name)
{
    return "callers>" + name;
}

} // namespace

CellProcesses::CellProcesses(CellProcessOptions options)
    : m_options(std::move(options))
{
    for (int number = 1; number <= m_options.keepers; ++number)
        m_hosts.push_back({"keeper-" + std::to_string(number), true, number});
    for (int number = 1; number <= m_options.entries; ++number)
        m_hosts.push_back({"entry-" + std::to_string(number), false, m_options.keepers + number});
    m_lastNumber = int(m_hosts.size());
    ::setenv("GENTIANCROSS_FLEET_SECRET", "the-cell-of-the-soak", 1);
    std::filesystem::create_directories(m_options.folder);
}

CellProcesses::~CellProcesses()
{
    for (const CellProcess &host : m_hosts) {
        if (host.pid != 0)
            kill(host.name);
    }
}

std::string CellProcesses::ip(int thirdOctet, int number) const
{
    return "127." + std::to_string(m_options.secondOctet) + '.' + std::to_string(thirdOctet) + '.'
            + std::to_string(number);
}

std::string CellProcesses::address(const CellProcess &host) const
{
    return ip(HostOctet, host.number);
}

bool CellProcesses::startRelays()
{
    std::vector<RelayRoute> routes;
    for (const CellProcess &host : m_hosts) {
        routes.push_back(
                {peerRoute(host.name), address(host), ip(PeerListenOctet, host.number), PeerPort});
        if (!host.isKeeper)
            routes.push_back({callerRoute(host.name), ip(CallerOctet, host.number), address(host),
                              FrontPort});
    }
    // Routes can't be added later, so those of successors are opened now.
    for (int number = m_lastNumber + 1; number <= m_lastNumber + m_options.successors; ++number)
        routes.push_back({peerRoute("keeper-" + std::to_string(number)), ip(HostOctet, number),
                          ip(PeerListenOctet, number), PeerPort});
    return m_relay.start(routes);
}

std::vector<std::string> CellProcesses::controlAddresses() const
{
    std::vector<std::string> addresses;
    for (const CellProcess &host : m_hosts) {
        if (host.isKeeper)
            addresses.push_back(address(host) + ':' + std::to_string(ControlPort));
    }
    return addresses;
}

std::vector<std::string> CellProcesses::frontAddresses() const
{
    std::vector<std::string> addresses;
    for (const CellProcess &host : m_hosts) {
        if (!host.isKeeper)
            addresses.push_back(ip(CallerOctet, host.number) + ':' + std::to_string(FrontPort));
    }
    return addresses;
}

void CellProcesses::writeSettings(const CellProcess &host) const
{
    Json::Value json;
    json["node"] = host.name;
    json["zone"] = "z" + std::to_string(host.number);
    json["ip"] = address(host);
    if (host.isKeeper) {
        json["listen"]["control"] = address(host) + ':' + std::to_string(ControlPort);
        json["data_dir"] = m_options.folder + '/' + host.name;
    } else {
        json["listen"]["front"] = address(host) + ':' + std::to_string(FrontPort);
        json["listen"]["ready"] = address(host) + ':' + std::to_string(ReadyPort);
    }
    json["port_range"].append(PeerPort);
    json["port_range"].append(LastPeerPort);
    const std::vector<std::string> all = controlAddresses();
    for (int seed = 0; seed < std::min<int>(SeedCount, int(all.size())); ++seed)
        json["seeds"].append(all[std::size_t(seed)]);
    json["bootstrap"] = host.isFirstStart;
    json["fault_tolerance"]["machines"] = m_options.tolerance;
    json["advice"] = m_options.adviser;
    // Replaced by a rename, which is atomic, since the host may read the file at any time.
    const std::string path = m_options.folder + '/' + host.name + ".json";
    std::ofstream(path + ".new") << codec::formatJson(json);
    std::filesystem::rename(path + ".new", path);
}

CellProcess *CellProcesses::find(const std::string &name)
{
    const auto found = std::find_if(m_hosts.begin(), m_hosts.end(),
                                    [&](const CellProcess &host) { return host.name == name; });
    return found == m_hosts.end() ? nullptr : &*found;
}

void CellProcesses::start(const std::string &name)
{
    CellProcess *const found = find(name);
    if (found == nullptr || found->pid != 0)
        return;
    CellProcess &host = *found;
    writeSettings(host);
    const std::string base = m_options.folder + '/' + name;
    host.pid = spawn({m_options.binary, "cell", "--boot", base + ".json", "--peer-ip",
                      ip(PeerListenOctet, host.number)},
                     base + ".log");
    host.isFirstStart = false;
}

void CellProcesses::kill(const std::string &name)
{
    CellProcess *const found = find(name);
    if (found == nullptr || found->pid == 0)
        return;
    CellProcess &host = *found;
    ::kill(host.pid, SIGKILL);
    while (::waitpid(host.pid, nullptr, 0) < 0 && errno == EINTR) {
    }
    host.pid = 0;
    host.isPaused = false;
}

int CellProcesses::terminate(const std::string &name)
{
    CellProcess *const found = find(name);
    if (found == nullptr || found->pid == 0)
        return 0;
    CellProcess &host = *found;
    setPaused(name, false);
    ::kill(host.pid, SIGTERM);
    for (auto waited = ExitPollInterval; waited < TerminationGrace; waited += ExitPollInterval) {
        int status = 0;
        if (::waitpid(host.pid, &status, WNOHANG) == host.pid) {
            host.pid = 0;
            return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
        }
        std::this_thread::sleep_for(ExitPollInterval);
    }
    kill(name);
    return -1;
}

void CellProcesses::setPaused(const std::string &name, bool paused)
{
    CellProcess *const found = find(name);
    if (found == nullptr)
        return;
    CellProcess &host = *found;
    if (host.pid != 0)
        ::kill(host.pid, paused ? SIGSTOP : SIGCONT);
    host.isPaused = paused && host.pid != 0;
}

void CellProcesses::reloadSettings(const std::string &name)
{
    CellProcess *const found = find(name);
    if (found == nullptr || found->pid == 0)
        return;
    CellProcess &host = *found;
    writeSettings(host);
    ::kill(host.pid, SIGHUP);
}

void CellProcesses::eraseDisk(const std::string &name)
{
    std::filesystem::remove_all(m_options.folder + '/' + name);
}

void CellProcesses::remove(const std::string &name)
{
    kill(name);
    eraseDisk(name);
    std::erase_if(m_hosts, [&](const CellProcess &host) { return host.name == name; });
}

std::string CellProcesses::addKeeper()
{
    const int number = ++m_lastNumber;
    CellProcess host{"keeper-" + std::to_string(number), true, number};
    host.isFirstStart = false;
    m_hosts.push_back(host);
    start(host.name);
    return host.name;
}

long CellProcesses::lastTermLed(const std::string &name) const
{
    static const std::string marker = "gained leadership: term=";
    std::ifstream log(m_options.folder + '/' + name + ".log");
    long term = -1;
    for (std::string line; std::getline(log, line);) {
        const std::size_t found = line.find(marker);
        if (found != std::string::npos)
            term = std::stol(line.substr(found + marker.size()));
    }
    return term;
}

std::vector<std::string> CellProcesses::metricsAddresses() const
{
    std::vector<std::string> addresses;
    for (const CellProcess &host : m_hosts)
        addresses.push_back(address(host) + ':' + std::to_string(PeerPort + 1));
    return addresses;
}

void CellProcesses::setPeersCut(const std::string &name, bool cut)
{
    m_relay.setCut(peerRoute(name), cut);
}

void CellProcesses::resetCallers(const std::string &name)
{
    m_relay.reset(callerRoute(name));
}

void CellProcesses::setCallersCut(const std::string &name, bool cut)
{
    m_relay.setCut(callerRoute(name), cut);
}

bool CellProcesses::hasExited(const std::string &name)
{
    CellProcess *const host = find(name);
    if (host == nullptr || host->pid == 0 || ::waitpid(host->pid, nullptr, WNOHANG) != host->pid)
        return false;
    host->pid = 0;
    return true;
}

} // namespace gentiancross::tests
