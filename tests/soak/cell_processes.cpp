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
/** Third parts of the addresses: where a host is reached, and where it listens. */
constexpr int HostGroup = 1;
constexpr int PeerListenGroup = 2;
constexpr int CallerGroup = 3;
constexpr int Seeds = 3;
/** The platform kills a process so long after it has told it to end. */
constexpr std::chrono::milliseconds Grace{6000};
constexpr std::chrono::milliseconds LookPause{20};

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
    ::setenv("GENTIANCROSS_FLEET_SECRET", "the-cell-of-the-soak", 1);
    std::filesystem::create_directories(m_options.folder);
}

CellProcesses::~CellProcesses()
{
    for (const CellProcess &host : m_hosts) {
        if (host.process != 0)
            kill(host.name);
    }
}

std::string CellProcesses::ip(int group, int number) const
{
    return "127." + std::to_string(m_options.net) + '.' + std::to_string(group) + '.'
            + std::to_string(number);
}

std::string CellProcesses::address(const CellProcess &host) const
{
    return ip(HostGroup, host.number);
}

bool CellProcesses::prepare()
{
    std::vector<RelayRoute> routes;
    for (const CellProcess &host : m_hosts) {
        routes.push_back(
                {peerRoute(host.name), address(host), ip(PeerListenGroup, host.number), PeerPort});
        if (!host.isKeeper)
            routes.push_back({callerRoute(host.name), ip(CallerGroup, host.number), address(host),
                              FrontPort});
    }
    return m_relay.start(routes);
}

std::vector<std::string> CellProcesses::controls() const
{
    std::vector<std::string> addresses;
    for (const CellProcess &host : m_hosts) {
        if (host.isKeeper)
            addresses.push_back(address(host) + ':' + std::to_string(ControlPort));
    }
    return addresses;
}

std::vector<std::string> CellProcesses::fronts() const
{
    std::vector<std::string> addresses;
    for (const CellProcess &host : m_hosts) {
        if (!host.isKeeper)
            addresses.push_back(ip(CallerGroup, host.number) + ':' + std::to_string(FrontPort));
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
    const std::vector<std::string> all = controls();
    for (int seed = 0; seed < std::min<int>(Seeds, int(all.size())); ++seed)
        json["seeds"].append(all[std::size_t(seed)]);
    json["bootstrap"] = host.isFirstStart;
    json["fault_tolerance"]["machines"] = 1;
    json["advice"] = m_options.adviser;
    // In one step, since the host may read it at any moment.
    const std::string path = m_options.folder + '/' + host.name + ".json";
    std::ofstream(path + ".new") << codec::formatJson(json);
    std::filesystem::rename(path + ".new", path);
}

CellProcess &CellProcesses::find(const std::string &name)
{
    return *std::find_if(m_hosts.begin(), m_hosts.end(),
                         [&](const CellProcess &host) { return host.name == name; });
}

void CellProcesses::start(const std::string &name)
{
    CellProcess &host = find(name);
    if (host.process != 0)
        return;
    writeSettings(host);
    const std::string base = m_options.folder + '/' + name;
    host.process = spawn({m_options.binary, "cell", "--boot", base + ".json", "--peer-ip",
                          ip(PeerListenGroup, host.number)},
                         base + ".log");
    host.isFirstStart = false;
}

void CellProcesses::kill(const std::string &name)
{
    CellProcess &host = find(name);
    if (host.process == 0)
        return;
    ::kill(host.process, SIGKILL);
    while (::waitpid(host.process, nullptr, 0) < 0 && errno == EINTR) {
    }
    host.process = 0;
    host.isPaused = false;
}

int CellProcesses::terminate(const std::string &name)
{
    CellProcess &host = find(name);
    if (host.process == 0)
        return 0;
    setPaused(name, false);
    ::kill(host.process, SIGTERM);
    for (auto waited = LookPause; waited < Grace; waited += LookPause) {
        int status = 0;
        if (::waitpid(host.process, &status, WNOHANG) == host.process) {
            host.process = 0;
            return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
        }
        std::this_thread::sleep_for(LookPause);
    }
    kill(name);
    return -1;
}

void CellProcesses::setPaused(const std::string &name, bool paused)
{
    CellProcess &host = find(name);
    if (host.process != 0)
        ::kill(host.process, paused ? SIGSTOP : SIGCONT);
    host.isPaused = paused && host.process != 0;
}

void CellProcesses::hangUp(const std::string &name)
{
    CellProcess &host = find(name);
    if (host.process == 0)
        return;
    writeSettings(host);
    ::kill(host.process, SIGHUP);
}

void CellProcesses::loseDisk(const std::string &name)
{
    std::filesystem::remove_all(m_options.folder + '/' + name);
}

void CellProcesses::setCut(const std::string &name, bool cut)
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

bool CellProcesses::hasEnded(const std::string &name)
{
    CellProcess &host = find(name);
    if (host.process == 0 || ::waitpid(host.process, nullptr, WNOHANG) != host.process)
        return false;
    host.process = 0;
    return true;
}

} // namespace gentiancross::tests
