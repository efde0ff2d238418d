#include "tests/runner/fleet_benchmark.h"

#include "drivers/codec.h"
#include "tests/runner/sender.h"
#include "tests/standins/standin_worker.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <thread>
#include <unistd.h>

namespace gentiancross::tests {

namespace {

constexpr Milliseconds ProbeTimeout{3'000};
constexpr int HttpOk = 200;
constexpr int HttpAccepted = 202;
constexpr int MostAttempts = 10;
constexpr int HttpUnauthorized = 401;
constexpr double MillisecondsPerSecond = 1000.0;
constexpr double MebibyteBytes = 1'048'576.0;

double microsecondsSince(std::chrono::steady_clock::time_point begin)
{
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begin)
            .count();
}

std::string shortBody(std::int64_t deadline)
{
    return R"({"deadline_ms":)" + std::to_string(deadline) + R"(,"payload":"{\"run_ms\":1}"})";
}

std::string teamBody(std::int64_t version)
{
    Json::Value json;
    json["limit_millicores"] = Json::Int64(1'000'000 + version);
    json["expected_version"] = Json::Int64(version);
    return codec::formatJson(json);
}

} // namespace

ProcessUsage FleetBenchmark::processUsage(const std::string &host) const
{
    const std::string folder = "/proc/" + std::to_string(m_fleet.host(host).process);
    std::ifstream stat(folder + "/stat");
    std::string text;
    std::getline(stat, text);
    std::istringstream rest(text.substr(text.rfind(')') + 2));
    std::string skipped;
    // After the name: the state and ten more fields, then user and system time in clock ticks.
    for (int field = 0; field < 11; ++field)
        rest >> skipped;
    double user = 0;
    double system = 0;
    rest >> user >> system;
    std::ifstream memory(folder + "/statm");
    double total = 0;
    double resident = 0;
    memory >> total >> resident;
    const auto ticks = static_cast<double>(::sysconf(_SC_CLK_TCK));
    return {(user + system) / ticks * MillisecondsPerSecond,
            resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / MebibyteBytes};
}

std::vector<MeasuredFigure> FleetBenchmark::use(const std::string &label, std::int64_t milliseconds)
{
    MeasuredFigure processor{label + ": processor time of a host", "% of a core", {}};
    MeasuredFigure memory{label + ": resident memory of a host", "MiB", {}};
    MeasuredFigure bytes{label + ": control bytes of a host, both ways", "KB/s", {}};
    std::vector<ProcessUsage> before;
    std::vector<std::uint64_t> carried;
    for (const FleetHost &host : m_fleet.hosts()) {
        before.push_back(processUsage(host.name));
        carried.push_back(m_fleet.bytesCarried(host.name));
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
    for (std::size_t index = 0; index < before.size(); ++index) {
        const std::string &host = m_fleet.hosts()[index].name;
        const ProcessUsage now = processUsage(host);
        const auto span = static_cast<double>(milliseconds);
        processor.values.push_back((now.processorMilliseconds - before[index].processorMilliseconds)
                                   / span * 100.0);
        memory.values.push_back(now.residentMebibytes);
        bytes.values.push_back(static_cast<double>(m_fleet.bytesCarried(host) - carried[index])
                               / span);
    }
    return {processor, memory, bytes};
}

std::vector<MeasuredFigure> FleetBenchmark::journal(const std::string &host,
                                                    std::int64_t milliseconds, int runs)
{
    MeasuredFigure syncs{"syncs of the journal of " + host, "1/s", {}};
    MeasuredFigure shared{"records that share one sync on " + host, "records", {}};
    const auto read = [&](const std::string &name) {
        const HttpResult result = callAndWait("GET", m_fleet.entry(host), "/metrics", {}, {});
        const std::string text = result.response.body == nullptr ? "" : *result.response.body;
        const std::size_t place = text.find('\n' + name + ' ');
        return place == std::string::npos ? 0.0 : std::stod(text.substr(place + name.size() + 2));
    };
    for (int run = 0; run < runs; ++run) {
        const double syncsBefore = read("gentiancross_journal_syncs_total");
        const double recordsBefore = read("gentiancross_journal_records_total");
        std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
        const double made = read("gentiancross_journal_syncs_total") - syncsBefore;
        syncs.values.push_back(made * MillisecondsPerSecond / static_cast<double>(milliseconds));
        if (made > 0)
            shared.values.push_back((read("gentiancross_journal_records_total") - recordsBefore)
                                    / made);
    }
    return {syncs, shared};
}

std::string FleetBenchmark::hostInOtherDataCentre(const std::string &host) const
{
    for (const FleetHost &other : m_fleet.hosts()) {
        if (other.name != host && other.dataCentre != m_fleet.host(host).dataCentre)
            return other.name;
    }
    return host;
}

MeasuredFigure FleetBenchmark::takeover(const std::string &dataCentre, const std::string &key,
                                        int runs)
{
    MeasuredFigure figure{"kill of an authority to the end of the next request", "ms", {}};
    for (int run = 0; run < runs; ++run) {
        if (!m_until("until in-sync " + dataCentre + " count=2") || !m_until("until ready all"))
            return figure;
        const std::string authority = m_fleet.authorityOf(dataCentre);
        const std::string other = hostInOtherDataCentre(authority);
        const std::string name = dataCentre + "/probe-" + std::to_string(++m_serial);
        const std::int64_t begin = monotonicNowMs();
        m_fleet.kill(authority);
        const HttpResult result = callAndWait("POST", m_fleet.entry(other), "/v1/requests", key,
                                              shortBody(30'000), name, false, Milliseconds(31'000));
        if (result.response.status == HttpOk)
            figure.values.push_back(static_cast<double>(monotonicNowMs() - begin));
        m_fleet.start(authority);
    }
    return figure;
}

MeasuredFigure FleetBenchmark::change(const std::string &team, int runs)
{
    MeasuredFigure figure{"change to in force on all hosts", "ms", {}};
    for (int run = 0; run < runs; ++run) {
        const auto begin = std::chrono::steady_clock::now();
        const HttpResult result = callAndWait(
                "PUT",
                m_fleet.entry(
                        m_fleet.hosts()[static_cast<std::size_t>(run) % m_fleet.hosts().size()]
                                .name),
                "/v1/teams/" + team, OperatorKey, teamBody(run));
        if (result.response.status == HttpOk)
            figure.values.push_back(microsecondsSince(begin) / MillisecondsPerSecond);
    }
    return figure;
}

MeasuredFigure FleetBenchmark::withdrawal(const std::string &team, int runs)
{
    MeasuredFigure figure{"withdrawal of a key to its last success", "ms", {}};
    for (int run = 0; run < runs; ++run) {
        const std::string name = "w" + std::to_string(++m_serial);
        const std::string secret = "secret-of-the-measured-key-" + name;
        const std::string path = absl::StrCat("/v1/teams/", team, "/keys/", name);
        callAndWait("PUT", m_fleet.entry(m_fleet.hosts()[0].name), path, OperatorKey,
                    R"({"secret":")" + secret + R"("})");
        std::atomic<std::int64_t> lastSuccess = 0;
        std::atomic<int> refusals = 0;
        std::vector<std::thread> callers;
        for (const FleetHost &host : m_fleet.hosts()) {
            callers.emplace_back([&, entry = m_fleet.entry(host.name)] {
                for (int refused = 0; refused < 20;) {
                    const std::int64_t sentAt = monotonicNowMs();
                    const HttpResult result
                            = callAndWait("GET", entry, "/v1/requests/hobart:none:none", secret, {},
                                          {}, false, ProbeTimeout);
                    // Any answer but 401 means that the key was honoured.
                    const bool isRefused = result.response.status == HttpUnauthorized;
                    refused += isRefused ? 1 : 0;
                    refusals += isRefused ? 1 : 0;
                    if (!isRefused)
                        lastSuccess = std::max<std::int64_t>(lastSuccess, sentAt);
                }
            });
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        const std::int64_t begin = monotonicNowMs();
        callAndWait("DELETE", m_fleet.entry(m_fleet.hosts()[0].name), path, OperatorKey, {});
        for (std::thread &caller : callers)
            caller.join();
        figure.values.push_back(
                static_cast<double>(std::max<std::int64_t>(0, lastSuccess - begin)));
    }
    return figure;
}

bool FleetBenchmark::changeWithRetries(const std::string &host, const std::string &team,
                                       std::int64_t version)
{
    const std::string name = team + '-' + std::to_string(version);
    for (int attempt = 0; attempt < MostAttempts; ++attempt) {
        const HttpResult result = callAndWait("PUT", m_fleet.entry(host), "/v1/teams/" + team,
                                              OperatorKey, teamBody(version), name, true);
        if (result.response.status == HttpOk || result.response.status == HttpAccepted)
            return true;
    }
    return false;
}

MeasuredFigure FleetBenchmark::recovery(const std::string &host, int changes, int runs)
{
    MeasuredFigure figure{"start of a host to having applied " + std::to_string(changes)
                                  + " missed changes",
                          "ms",
                          {}};
    const std::string other = hostInOtherDataCentre(host);
    const std::string team = "recovery";
    std::int64_t version = 0;
    for (int run = 0; run < runs; ++run) {
        if (!m_until("until ready all"))
            return figure;
        m_fleet.kill(host);
        for (int change = 0; change < changes; ++change, ++version) {
            if (!changeWithRetries(other, team, version))
                return figure;
        }
        const std::int64_t begin = monotonicNowMs();
        m_fleet.start(host);
        if (!m_until(absl::StrCat("until limit ", team, " is=", 1'000'000 + version - 1,
                                  " via=", host)))
            return figure;
        figure.values.push_back(static_cast<double>(monotonicNowMs() - begin));
    }
    return figure;
}

std::vector<MeasuredFigure> FleetBenchmark::path(const std::string &dataCentre,
                                                 const std::string &key, int runs)
{
    MeasuredFigure through{"a request of 1 ms through its authority", "ms", {}};
    MeasuredFigure forwarded{"a request of 1 ms through another entry host", "ms", {}};
    MeasuredFigure direct{"the same work sent to the stand-in directly", "ms", {}};
    const std::string authority = m_fleet.authorityOf(dataCentre);
    const std::string other = hostInOtherDataCentre(authority);
    const std::string selected
            = R"({"selector":{"data_centre":")" + dataCentre + R"("},"payload":"{\"run_ms\":1}"})";
    const auto timed = [&](MeasuredFigure &figure, const std::string &address,
                           const std::string &path, const std::string &body) {
        const auto begin = std::chrono::steady_clock::now();
        const HttpResult result = callAndWait("POST", address, path, key, body);
        if (result.response.status == HttpOk)
            figure.values.push_back(microsecondsSince(begin) / MillisecondsPerSecond);
    };
    for (int run = 0; run < runs; ++run) {
        timed(direct, m_fleet.workerAddress(dataCentre), "/direct", R"({"run_ms":1})");
        timed(through, m_fleet.entry(authority), "/v1/requests", selected);
        timed(forwarded, m_fleet.entry(other), "/v1/requests", selected);
    }
    return {direct, through, forwarded};
}

void printAndSaveFigures(const std::vector<MeasuredFigure> &figures, const std::string &path)
{
    std::ofstream file(path, std::ios::app);
    for (const MeasuredFigure &figure : figures) {
        std::vector<double> sorted = figure.values;
        std::sort(sorted.begin(), sorted.end());
        if (sorted.empty()) {
            std::cout << "  not measured: " << figure.name << '\n';
            continue;
        }
        const std::size_t last = sorted.size() - 1;
        std::cout << "  " << std::left << std::setw(66) << figure.name << std::right << std::fixed
                  << std::setprecision(2) << " min " << sorted.front() << "  p50 "
                  << sorted[last / 2] << "  p90 " << sorted[last * 9 / 10] << "  max "
                  << sorted.back() << ' ' << figure.unit << " (" << sorted.size() << ")"
                  << std::endl;
        Json::Value json;
        json["name"] = figure.name;
        json["unit"] = figure.unit;
        for (const double value : figure.values)
            json["values"].append(value);
        file << codec::formatJson(json) << '\n';
    }
}

} // namespace gentiancross::tests
