#pragma once

// Starts the project's hosts as the deploy file says, with settings like those of a small
// deployment, and writes the record of a case.

#include "net.h"

#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <json/json.h>
#include <set>
#include <sstream>
#include <sys/wait.h>

namespace review {

inline std::string toText(const Json::Value &json)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, json);
}

inline Json::Value parseJson(const std::string &text)
{
    Json::CharReaderBuilder builder;
    Json::Value json;
    std::istringstream in(text);
    std::string errors;
    if (!Json::parseFromStream(builder, in, &json, &errors))
        return {};
    return json;
}

/** Lines with the time since the start, in record.txt and on standard output. */
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(path)
        , m_start(steadyMs())
    {}

    __attribute__((format(printf, 2, 3))) void line(const char *format, ...)
    {
        char text[4096];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof(text), format, arguments);
        va_end(arguments);
        const std::lock_guard lock(m_mutex);
        const double at = double(steadyMs() - m_start) / 1000;
        char time[32];
        std::snprintf(time, sizeof(time), "%8.3f ", at);
        m_file << time << text << std::endl;
    }

    Ms now() const { return steadyMs() - m_start; }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    Ms m_start;
};

struct Host
{
    std::string name;
    bool isKeeper = false;
    Address peer;
    Address control;
    Address front;
    Address ready;
    pid_t pid = 0;
    /** True once the machine has been removed for good. */
    bool isRemoved = false;
    std::unique_ptr<Relay> relay;
};

/** Keepers and entry hosts, each at an address of its own. */
class Cell
{
public:
    Cell(Record &record, int keepers, int entries, bool hasRelays, int tolerance = 1)
        : m_record(record)
        , m_hasRelays(hasRelays)
        , m_tolerance(tolerance)
    {
        char folder[] = "/tmp/review-3-XXXXXX";
        m_folder = ::mkdtemp(folder);
        for (int tries = 0; m_lock < 0 && tries < 200; ++tries) {
            m_net = 20 + (int(::getpid()) + tries) % 200;
            m_lock = listenOn({address(9, 9), 7419});
        }
        for (int number = 1; number <= keepers + entries; ++number) {
            auto host = std::make_unique<Host>();
            host->isKeeper = number <= keepers;
            host->name = (host->isKeeper ? "keeper-" : "entry-")
                    + std::to_string(host->isKeeper ? number : number - keepers);
            setAddresses(*host, number);
            m_hosts.push_back(std::move(host));
        }
        for (const Host *keeper : this->keepers()) {
            if (m_seeds.size() < 3)
                m_seeds.push_back(keeper->control.text());
        }
    }

    ~Cell()
    {
        for (auto &host : m_hosts)
            kill(*host, SIGKILL);
        m_hosts.clear();
        ::close(m_lock);
        std::filesystem::remove_all(m_folder);
    }

    /** An address that no other part of this run uses, by its third and fourth number. */
    std::string address(int third, int fourth) const
    {
        return "127." + std::to_string(m_net) + '.' + std::to_string(third) + '.'
                + std::to_string(fourth);
    }

    /** Those that have not been removed. */
    std::vector<Host *> keepers()
    {
        std::vector<Host *> out;
        for (auto &host : m_hosts) {
            if (host->isKeeper && !host->isRemoved)
                out.push_back(host.get());
        }
        return out;
    }

    std::vector<Host *> entries()
    {
        std::vector<Host *> out;
        for (auto &host : m_hosts) {
            if (!host->isKeeper)
                out.push_back(host.get());
        }
        return out;
    }

    /** Each process starts with these fields, by the users' DEPLOY page. */
    Json::Value &bounds() { return m_bounds; }
    void setAdviser(const std::string &address) { m_adviser = address; }

    bool start()
    {
        for (auto &host : m_hosts) {
            if (m_hasRelays) {
                host->relay = std::make_unique<Relay>(
                        host->peer, Address{address(2, int(&host - m_hosts.data()) + 1), 7420});
                if (!host->relay->start())
                    return false;
            }
            launch(*host, true);
        }
        return true;
    }

    void launch(Host &host, bool isFirst)
    {
        Json::Value json;
        json["node"] = host.name;
        json["role"] = host.isKeeper ? "keeper" : "entry";
        json["machine_class"] = host.isKeeper ? "core" : "edge";
        json["serves"].append(host.isKeeper ? "control" : "edge");
        json["ip"] = host.peer.ip;
        json["zone"] = "z" + host.name.substr(host.name.size() - 1);
        json["region"] = "r1";
        for (const auto &other : m_hosts)
            json["zones"]["z" + other->name.substr(other->name.size() - 1)] = "r1";
        if (host.isKeeper) {
            json["listen"]["control"] = host.control.text();
            json["data_dir"] = m_folder + '/' + host.name;
        } else {
            json["listen"]["front"] = host.front.text();
            json["listen"]["ready"] = host.ready.text();
            json["data_dir"] = Json::Value();
        }
        json["port_range"].append(7420);
        json["port_range"].append(7435);
        for (const std::string &seed : m_seeds)
            json["seeds"].append(seed);
        json["bootstrap"] = isFirst;
        json["counts_as_loss"] = host.isKeeper;
        json["limits"]["memory_mb"] = host.isKeeper ? 256 : 260;
        json["limits"]["max_fds"] = host.isKeeper ? 4096 : 4100;
        json["heartbeat_ms"] = 1500;
        json["fault_tolerance"]["machines"] = m_tolerance;
        json["fault_tolerance"]["zones"] = 1;
        json["bounds"] = m_bounds;
        json["config_mode"] = "highest";
        json["orders"] = "call";
        if (!m_adviser.empty())
            json["advice"] = m_adviser;
        const std::string path = m_folder + '/' + host.name + ".json";
        std::ofstream(path) << toText(json);
        const std::string log = m_folder + '/' + host.name + ".log";
        const std::string peerIp
                = m_hasRelays ? address(2, std::stoi(host.peer.ip.substr(host.peer.ip.rfind('.') + 1)))
                              : host.peer.ip;
        host.pid = ::fork();
        if (host.pid == 0) {
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(out, 1);
            ::dup2(out, 2);
            ::setenv("GENTIANCROSS_BOOT", path.c_str(), 1);
            ::setenv("GENTIANCROSS_FLEET_SECRET", "between-hosts-of-one-cell", 1);
            if (m_hasRelays)
                ::setenv("GENTIANCROSS_PEER_IP", peerIp.c_str(), 1);
            ::execl("target/gentiancross", "gentiancross", "cell", static_cast<char *>(nullptr));
            std::_Exit(127);
        }
        m_record.line("%s started", host.name.c_str());
    }

    /** Removes a core machine for good: it is killed and never starts again. */
    void remove(Host &host)
    {
        m_record.line("%s is gone for good", host.name.c_str());
        kill(host, SIGKILL);
        host.isRemoved = true;
    }

    /** Adds a core machine with an empty disk at a new address. */
    void addKeeper()
    {
        auto host = std::make_unique<Host>();
        host->isKeeper = true;
        const int number = int(m_hosts.size()) + 1;
        host->name = "keeper-" + std::to_string(number);
        setAddresses(*host, number);
        m_hosts.push_back(std::move(host));
        launch(*m_hosts.back(), false);
    }

    void kill(Host &host, int signal)
    {
        if (host.pid == 0)
            return;
        ::kill(host.pid, signal);
        if (signal != SIGKILL)
            return;
        ::waitpid(host.pid, nullptr, 0);
        host.pid = 0;
    }

    /** True if the process has ended by itself. */
    bool hasEnded(Host &host)
    {
        if (host.pid == 0 || ::waitpid(host.pid, nullptr, WNOHANG) == 0)
            return false;
        host.pid = 0;
        return true;
    }

    /** The keeper that said last in its log that it leads; null if none has. Used to aim a
     * disruption only. */
    Host *leader()
    {
        Host *best = nullptr;
        long bestTerm = -1;
        for (Host *keeper : keepers()) {
            std::ifstream log(m_folder + '/' + keeper->name + ".log");
            std::string line;
            while (std::getline(log, line)) {
                const std::size_t found = line.find("gained leadership: term=");
                if (found == std::string::npos)
                    continue;
                const long term = std::stol(line.substr(found + 24));
                if (term > bestTerm) {
                    bestTerm = term;
                    best = keeper;
                }
            }
        }
        return best;
    }

    std::string logOf(const Host &host) const
    {
        std::ifstream in(m_folder + '/' + host.name + ".log");
        std::ostringstream out;
        out << in.rdbuf();
        return out.str();
    }

private:
    void setAddresses(Host &host, int number) const
    {
        const std::string ip = address(1, number);
        host.peer = {ip, 7420};
        host.control = {ip, 8180};
        host.front = {ip, 8183};
        host.ready = {ip, 8184};
    }

    Record &m_record;
    bool m_hasRelays;
    int m_tolerance;
    std::vector<std::string> m_seeds;
    std::string m_folder;
    int m_net = 0;
    /** Keeps the addresses from other runs. */
    int m_lock = -1;
    Json::Value m_bounds;
    std::string m_adviser;
    std::vector<std::unique_ptr<Host>> m_hosts;
};

/** Sends the operator's change until one host acknowledges it; false after 30 s. */
inline bool putConfiguration(Cell &cell, Record &record, const std::string &document)
{
    const Ms end = steadyMs() + 30'000;
    while (steadyMs() < end) {
        for (Host *keeper : cell.keepers()) {
            const HttpAnswer answer
                    = httpCall(keeper->control, "POST", "/config/put", document, 1000);
            if (answer.status == 200) {
                record.line("configuration acknowledged by %s", keeper->name.c_str());
                return true;
            }
        }
        sleepMs(200);
    }
    return false;
}

inline bool hasTrouble()
{
    const char *const trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
}

/** How a case ends. */
constexpr int RuleHeld = 0;
constexpr int RuleBroken = 1;
constexpr int CouldNotRun = 2;

} // namespace review
