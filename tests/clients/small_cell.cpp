#include "tests/clients/small_cell.h"

#include "drivers/codec.h"
#include "tests/clients/job_bodies.h"
#include "tests/runner/spawn.h"

#include <absl/strings/str_cat.h>

#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <future>
#include <iterator>
#include <sys/wait.h>
#include <thread>

namespace gentiancross::tests {

namespace {

constexpr std::chrono::seconds ServingTimeout{30};
constexpr std::chrono::milliseconds RetryInterval{100};
constexpr Milliseconds CallTimeout{5000};
constexpr std::size_t KibibytesPerMebibyte = 1024;
/** Numbers of jobs that no crowd submits; in hexadecimal they have 16 digits. */
constexpr std::uint64_t FirstOrdinaryJob = 0xf000'0000'0000'0000;
constexpr char OrdinaryKey[] = "ordinary";

/** Repeats \a attempt until it returns true; false once ServingTimeout is over. */
bool retry(const std::function<bool()> &attempt)
{
    const auto end = std::chrono::steady_clock::now() + ServingTimeout;
    while (!attempt()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(RetryInterval);
    }
    return true;
}

std::string configurationDocument(std::size_t bytes)
{
    Json::Value json;
    json["version"] = 1;
    Json::Value &route = json["routes"][0];
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
    json["services"][0]["name"] = "pool";
    json["tenants"][0]["name"] = "alpha";
    json["tenants"][0]["api_keys"].append(SmallCell::CrowdKey);
    json["tenants"][1]["name"] = "beta";
    json["tenants"][1]["api_keys"].append(OrdinaryKey);
    json["padding"] = std::string(bytes, 'p');
    return codec::formatJson(json);
}

} // namespace

bool HostProcess::isAlive() const
{
    return ::waitpid(pid, nullptr, WNOHANG) == 0;
}

std::size_t HostProcess::peakMemoryMb() const
{
    std::ifstream status(absl::StrCat("/proc/", pid, "/status"));
    std::string word;
    std::size_t kibibytes = 0;
    while (status >> word) {
        if (word == "VmHWM:")
            status >> kibibytes;
    }
    return kibibytes / KibibytesPerMebibyte;
}

std::size_t HostProcess::openDescriptors() const
{
    std::error_code error;
    const std::filesystem::directory_iterator files(absl::StrCat("/proc/", pid, "/fd"), error);
    return error ? 0 : static_cast<std::size_t>(std::distance(begin(files), end(files)));
}

SmallCell::SmallCell(std::string binary, std::string folder, HostLimits keeper, HostLimits entry)
    : m_binary(std::move(binary))
    , m_folder(std::move(folder))
{
    m_keeper.limits = keeper;
    m_entry.limits = entry;
}

SmallCell::~SmallCell()
{
    for (const HostProcess *host : {&m_entry, &m_keeper}) {
        if (host->pid == 0)
            continue;
        ::kill(host->pid, SIGKILL);
        while (::waitpid(host->pid, nullptr, 0) < 0 && errno == EINTR) {
        }
    }
}

void SmallCell::startProcess(HostProcess &host, const std::string &name, bool isKeeper) const
{
    const std::string ip = isKeeper ? KeeperIp : EntryIp;
    Json::Value json;
    json["node"] = name;
    json["zone"] = "z1";
    json["ip"] = ip;
    if (isKeeper) {
        json["listen"]["control"] = absl::StrCat(ip, ":", ControlPort);
        json["data_dir"] = m_folder + "/data";
    } else {
        json["listen"]["front"] = absl::StrCat(ip, ":", FrontPort);
        json["listen"]["ready"] = absl::StrCat(ip, ":", ReadyPort);
    }
    json["port_range"].append(PeerPort);
    json["port_range"].append(PeerPort + 10);
    json["seeds"].append(absl::StrCat(KeeperIp, ":", ControlPort));
    json["bootstrap"] = true;
    json["fault_tolerance"]["machines"] = 0;
    json["limits"]["memory_mb"] = Json::UInt64(host.limits.memoryMb);
    json["limits"]["max_fds"] = Json::UInt64(host.limits.maxFds);
    const std::string path = m_folder + '/' + name + ".json";
    std::ofstream(path) << codec::formatJson(json);
    host.pid = spawn({m_binary, "cell", "--boot", path}, m_folder + '/' + name + ".log");
}

HttpResult SmallCell::call(const std::string &method, const std::string &url,
                           const std::string &body, const std::string &key)
{
    HttpClient client;
    HttpCall call;
    call.method = method;
    call.url = url;
    call.headers = {{"Authorization", "Token " + key}, {"Host", "jobs.example"}};
    if (!body.empty())
        call.body = std::make_shared<const std::string>(body);
    call.timeout = CallTimeout;
    std::promise<HttpResult> ended;
    client.start(std::move(call),
                 [&ended](HttpResult result) { ended.set_value(std::move(result)); });
    return ended.get_future().get();
}

bool SmallCell::start(std::size_t configurationBytes)
{
    std::filesystem::remove_all(m_folder);
    std::filesystem::create_directories(m_folder);
    ::setenv("GENTIANCROSS_FLEET_SECRET", "the-cell-of-the-clients", 1);
    startProcess(m_keeper, "keeper", true);
    startProcess(m_entry, "entry", false);
    const std::string document = configurationDocument(configurationBytes);
    const bool isStored = retry([&document] {
        const HttpResult put
                = call("POST", absl::StrCat("http://", KeeperIp, ":", ControlPort, "/config/put"),
                       document);
        return put.outcome == CallOutcome::Answered && put.response.status == 200;
    });
    return isStored && answersOrdinaryCalls();
}

bool SmallCell::acceptsOrdinaryJob()
{
    const std::string url = absl::StrCat("http://", EntryIp, ":", FrontPort, "/q/",
                                         absl::Hex(FirstOrdinaryJob + ++m_ordinaryJobs));
    return retry([&url] {
        const HttpResult submission = call("POST", url, jobbodies::oneTask(), OrdinaryKey);
        return submission.outcome == CallOutcome::Answered && submission.response.status == 200;
    });
}

bool SmallCell::answersOrdinaryCalls()
{
    // 410: the leader knows the key and the route, and no such job.
    return retry([] {
               const HttpResult caller
                       = call("GET", absl::StrCat("http://", EntryIp, ":", FrontPort, "/q/1"), {});
               return caller.outcome == CallOutcome::Answered && caller.response.status == 410;
           })
            && retry([] {
                   const HttpResult read = call(
                           "GET",
                           absl::StrCat("http://", KeeperIp, ":", ControlPort, "/config/get"), {});
                   return read.outcome == CallOutcome::Answered && read.response.status == 200;
               })
            && acceptsOrdinaryJob();
}

} // namespace gentiancross::tests
