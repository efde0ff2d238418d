#include "tests/runner/fleet.h"

#include "drivers/codec.h"
#include "tests/runner/sender.h"
#include "tests/runner/spawn.h"

#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sys/wait.h>
#include <unistd.h>

namespace gentiancross::tests {

namespace {

constexpr std::uint16_t CallerPort = 7000;
constexpr std::uint16_t PeerPort = 7100;
constexpr std::uint16_t WorkerPort = 7200;
constexpr Milliseconds QueryTimeout{1500};
constexpr int CallerNet = 10;
constexpr int PeerNet = 20;
constexpr int WorkerNet = 30;
constexpr int RelayNet = 100;

std::string routeName(const std::string &from, const std::string &to)
{
    return from + '>' + to;
}

} // namespace

Fleet::Fleet(Options options)
    : m_options(std::move(options))
{
    m_hosts = {{"hobart-1", "hobart", true, 1, 0},
               {"hobart-2", "hobart", false, 2, 0},
               {"launceston-1", "launceston", true, 3, 0},
               {"launceston-2", "launceston", true, 4, 0},
               {"devonport-1", "devonport", true, 5, 0},
               {"devonport-2", "devonport", false, 6, 0},
               {"bruny-1", "bruny", true, 7, 0}};
    std::erase_if(m_hosts, [&](const FleetHost &host) {
        return std::find(m_options.without.begin(), m_options.without.end(), host.name)
                != m_options.without.end();
    });
    if (m_options.voters.empty()) {
        for (const FleetHost &host : m_hosts) {
            if (host.hasDisk)
                m_options.voters.push_back(host.name);
        }
    }
    int number = 1;
    for (const char *dataCentre : {"hobart", "launceston", "devonport", "bruny"})
        m_workers[dataCentre] = {dataCentre, number++, {}, 0};
    ::setenv("GENTIANCROSS_FLEET_SECRET", "the-fleet-of-the-tests", 1);
    ::setenv("GENTIANCROSS_OPERATOR_KEY", OperatorKey, 1);
    std::filesystem::create_directories(m_options.folder);
}

Fleet::~Fleet()
{
    for (const FleetHost &host : m_hosts) {
        if (host.process != 0)
            kill(host.name);
    }
    for (const auto &[dataCentre, workers] : m_workers)
        stopWorkers(dataCentre);
}

std::string Fleet::ip(int third, int fourth) const
{
    return "127." + std::to_string(m_options.net) + '.' + std::to_string(third) + '.'
            + std::to_string(fourth);
}

bool Fleet::prepare()
{
    std::vector<RelayRoute> routes;
    for (const FleetHost &from : m_hosts) {
        for (const FleetHost &to : m_hosts) {
            if (from.name != to.name)
                routes.push_back({routeName(from.name, to.name),
                                  ip(RelayNet + from.number, to.number), ip(PeerNet, to.number),
                                  PeerPort});
        }
    }
    return m_relay.start(routes);
}

const FleetHost &Fleet::host(const std::string &name) const
{
    const auto found = std::find_if(m_hosts.begin(), m_hosts.end(),
                                    [&](const FleetHost &host) { return host.name == name; });
    if (found == m_hosts.end()) {
        std::cerr << "there is no host " << name << '\n';
        std::exit(2);
    }
    return *found;
}

FleetHost &Fleet::mutableHost(const std::string &name)
{
    return const_cast<FleetHost &>(host(name));
}

std::string Fleet::hostListFor(const FleetHost &self) const
{
    std::vector<std::string> parts;
    for (const FleetHost &other : m_hosts) {
        const std::string address = other.name == self.name
                ? ip(PeerNet, other.number)
                : ip(RelayNet + self.number, other.number);
        parts.push_back(other.name + '=' + other.dataCentre + ',' + address + ':'
                        + std::to_string(PeerPort) + (other.hasDisk ? ",disk" : ""));
    }
    return absl::StrJoin(parts, ";");
}

std::string Fleet::entry(const std::string &name) const
{
    return ip(CallerNet, host(name).number) + ':' + std::to_string(CallerPort);
}

void Fleet::start(const std::string &name)
{
    FleetHost &self = mutableHost(name);
    std::vector<std::string> words
            = {m_options.binary,   "serve",
               "--host",           self.name,
               "--hosts",          hostListFor(self),
               "--initial-voters", absl::StrJoin(m_options.voters, ","),
               "--listen",         entry(name),
               "--peer-listen",    ip(PeerNet, self.number) + ':' + std::to_string(PeerPort)};
    if (self.hasDisk) {
        words.emplace_back("--data-folder");
        words.push_back(m_options.folder + '/' + name);
    }
    for (const auto word : absl::StrSplit(m_options.extraArguments, ' ', absl::SkipEmpty()))
        words.emplace_back(word);
    self.process = spawn(words, m_options.folder + '/' + name + ".log");
}

void Fleet::startWorkers(const std::string &dataCentre, const std::string &arguments)
{
    FleetWorkers &workers = m_workers.at(dataCentre);
    std::vector<std::string> entries;
    for (const FleetHost &host : m_hosts) {
        if (host.dataCentre == dataCentre)
            entries.push_back(entry(host.name));
    }
    std::vector<std::string> words = {m_options.standin,
                                      "--data-centre",
                                      dataCentre,
                                      "--ip",
                                      ip(WorkerNet, workers.number),
                                      "--port",
                                      std::to_string(WorkerPort),
                                      "--entries",
                                      absl::StrJoin(entries, ",")};
    for (const auto word : absl::StrSplit(arguments, ' ', absl::SkipEmpty()))
        words.emplace_back(word);
    workers.process = spawn(words, m_options.folder + "/workers-" + dataCentre + ".log");
}

void Fleet::stopWorkers(const std::string &dataCentre)
{
    FleetWorkers &workers = m_workers.at(dataCentre);
    if (workers.process == 0)
        return;
    ::kill(workers.process, SIGKILL);
    ::waitpid(workers.process, nullptr, 0);
    workers.process = 0;
}

void Fleet::signal(const std::string &name, int number)
{
    const FleetHost &self = host(name);
    if (self.process != 0)
        ::kill(self.process, number);
}

void Fleet::kill(const std::string &name)
{
    signal(name, SIGKILL);
    waitForEnd(name);
}

int Fleet::waitForEnd(const std::string &name)
{
    FleetHost &self = mutableHost(name);
    if (self.process == 0)
        return -1;
    int status = 0;
    while (::waitpid(self.process, &status, 0) < 0 && errno == EINTR) {
    }
    self.process = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

void Fleet::loseDisk(const std::string &name)
{
    std::filesystem::remove_all(m_options.folder + '/' + name);
}

void Fleet::damageDisk(const std::string &name, int percent)
{
    const std::string path = m_options.folder + '/' + name + "/state.journal";
    std::fstream file(path, std::ios::in | std::ios::out | std::ios::binary);
    const auto size = static_cast<std::streamoff>(std::filesystem::file_size(path));
    const std::streamoff place = size * percent / 100;
    file.seekg(place);
    const int byte = file.get();
    file.seekp(place);
    file.put(static_cast<char>(byte ^ 0x55));
}

void Fleet::setCut(const std::string &first, const std::string &second, bool cut)
{
    m_relay.setCut(routeName(first, second), cut);
    m_relay.setCut(routeName(second, first), cut);
}

std::uint64_t Fleet::bytesCarried(const std::string &name)
{
    std::uint64_t bytes = 0;
    for (const FleetHost &other : m_hosts) {
        if (other.name != name)
            bytes += m_relay.bytesCarried(routeName(name, other.name))
                    + m_relay.bytesCarried(routeName(other.name, name));
    }
    return bytes;
}

bool Fleet::isRunning(const std::string &name) const
{
    return host(name).process != 0;
}

bool Fleet::membersOf(const std::string &host, Json::Value &json) const
{
    if (!isRunning(host))
        return false;
    const HttpResult result = callAndWait("GET", entry(host), "/v1/members", OperatorKey, {}, {},
                                          false, QueryTimeout);
    return result.outcome == CallOutcome::Answered && codec::parseJson(*result.response.body, json)
            && json.isObject();
}

std::string Fleet::newest(
        const std::function<std::optional<VersionedHost>(const Json::Value &members)> &find) const
{
    VersionedHost newest;
    for (const FleetHost &host : hosts()) {
        Json::Value json;
        if (!membersOf(host.name, json))
            continue;
        const std::optional<VersionedHost> sighting = find(json);
        if (sighting.has_value() && sighting->age >= newest.age)
            newest = *sighting;
    }
    return newest.host;
}

std::string Fleet::authorityOf(const std::string &dataCentre) const
{
    return newest([&](const Json::Value &members) -> std::optional<VersionedHost> {
        for (const Json::Value &authority : members["authorities"]) {
            if (authority["data_centre"].asString() == dataCentre)
                return VersionedHost{authority["epoch"].asUInt64(), authority["host"].asString()};
        }
        return std::nullopt;
    });
}

std::string Fleet::leader() const
{
    return newest([&](const Json::Value &members) -> std::optional<VersionedHost> {
        for (const Json::Value &member : members["members"]) {
            if (member["leader"].asBool() && isRunning(member["host"].asString()))
                return VersionedHost{members["term"].asUInt64(), member["host"].asString()};
        }
        return std::nullopt;
    });
}

std::string Fleet::workerAddress(const std::string &dataCentre) const
{
    return ip(WorkerNet, m_workers.at(dataCentre).number) + ':' + std::to_string(WorkerPort);
}

std::vector<std::string> Fleet::workerAddresses() const
{
    std::vector<std::string> addresses;
    for (const auto &[dataCentre, workers] : m_workers) {
        if (workers.process != 0)
            addresses.push_back(workerAddress(dataCentre));
    }
    return addresses;
}

} // namespace gentiancross::tests
