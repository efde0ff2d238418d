#include "tests/clients/client_crowd.h"
#include "tests/clients/crowd_cases.h"
#include "tests/clients/job_bodies.h"
#include "tests/clients/small_cell.h"
#include "tests/runner/known_red.h"

#include <sodium.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

using namespace gentiancross;
using namespace gentiancross::tests;

namespace {

/** How long a crowd is active before ordinary calls are made beside it. */
constexpr std::chrono::seconds CrowdTime{5};
constexpr std::chrono::milliseconds SampleInterval{50};

std::uint16_t portOf(Target target)
{
    switch (target) {
    case Target::Front:
        return SmallCell::FrontPort;
    case Target::Ready:
        return SmallCell::ReadyPort;
    case Target::Control:
        return SmallCell::ControlPort;
    case Target::Peer:
        return SmallCell::PeerPort;
    case Target::Metrics:
        return SmallCell::MetricsPort;
    }
    return 0;
}

bool fail(const std::string &name, const std::string &what)
{
    std::cout << "  " << name << ": " << what << std::endl;
    return false;
}

/** Returns the most descriptors that \a host has open while a crowd is active. */
std::size_t observe(const HostProcess &host)
{
    std::size_t descriptors = 0;
    const auto end = std::chrono::steady_clock::now() + CrowdTime;
    while (std::chrono::steady_clock::now() < end) {
        descriptors = std::max(descriptors, host.openDescriptors());
        std::this_thread::sleep_for(SampleInterval);
    }
    return descriptors;
}

/** Checks that a crowd neither ends a host nor takes it over its limits, and that ordinary calls
 * are answered beside the crowd. */
bool runCrowd(const CrowdCase &testCase, const std::string &binary, const std::string &folder)
{
    const bool isKeeper = testCase.target == Target::Control;
    SmallCell cell(binary, folder, isKeeper ? testCase.limits : testCase.otherLimits,
                   isKeeper ? testCase.otherLimits : testCase.limits);
    if (!cell.start(testCase.configurationBytes))
        return fail(testCase.name, "the cell did not serve");
    const HostProcess &host = isKeeper ? cell.keeper() : cell.entry();
    const HostProcess &other = isKeeper ? cell.entry() : cell.keeper();
    const std::size_t memoryBefore = host.peakMemoryMb();
    // Half of the clients share the address of the ordinary callers, as behind a load balancer.
    ClientCrowd crowd(testCase.script, testCase.crowd,
                      isKeeper ? SmallCell::KeeperIp : SmallCell::EntryIp, portOf(testCase.target),
                      {"127.0.0.1", "127.77.2.1"});
    crowd.start();
    std::size_t descriptors = observe(host);
    if (testCase.script.waitAt != std::string::npos) {
        crowd.release();
        descriptors = std::max(descriptors, observe(host));
    }
    const bool isServing = cell.answersOrdinaryCalls();
    const std::size_t closed = crowd.closedConnections();
    crowd.stop();
    bool isPassed = isServing || fail(testCase.name, "ordinary calls were not answered");
    if (!host.isAlive() || !other.isAlive())
        return fail(testCase.name, "a process has ended");
    const std::size_t memory = host.peakMemoryMb();
    const std::size_t otherMemory = other.peakMemoryMb();
    std::cout << testCase.name << ": memory_mb=" << memory << " before=" << memoryBefore
              << " limit=" << host.limits.memoryMb << " other_host_mb=" << otherMemory
              << " limit=" << other.limits.memoryMb << " descriptors=" << descriptors
              << " limit=" << host.limits.maxFds << " closed=" << closed << std::endl;
    if (memory > host.limits.memoryMb || otherMemory > other.limits.memoryMb)
        isPassed = fail(testCase.name, "memory is over the limit");
    if (descriptors > host.limits.maxFds)
        isPassed = fail(testCase.name, "descriptors are over the limit");
    return isPassed;
}

/** A status that says that the request was not run for lack of room or time. */
bool isRejection(int status)
{
    return status == 0 || status == 408 || status == 413 || status == 429 || status == 503;
}

/** Sends \a wire, a whole request, and returns the status of the answer; 0 without one. */
int statusOf(const std::string &ip, std::uint16_t port, const std::string &wire)
{
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    std::string answer;
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0) {
        std::size_t sent = 0;
        ssize_t count = 1;
        for (; sent < wire.size() && count > 0; sent += static_cast<std::size_t>(count))
            count = ::send(socket, wire.data() + sent, wire.size() - sent, MSG_NOSIGNAL);
        std::array<char, 4096> buffer;
        count = ::recv(socket, buffer.data(), buffer.size(), 0);
        answer.assign(buffer.data(), count > 0 ? static_cast<std::size_t>(count) : 0);
    }
    ::close(socket);
    constexpr std::size_t StatusOffset = 9;
    return answer.size() <= StatusOffset ? 0 : std::atoi(answer.c_str() + StatusOffset);
}

/** Guards against limits that reject a single request inside the limits of ordinary clients. */
bool runCalm(const std::string &binary, const std::string &folder)
{
    SmallCell cell(binary, folder, RealKeeperLimits, EntryLimits);
    if (!cell.start(0))
        return fail("calm", "the cell did not serve");
    constexpr std::size_t DocumentBytes = 3'000'000;
    const std::string document(DocumentBytes, '7');
    constexpr std::size_t Heartbeat = 4 << 20;
    bool isPassed = true;
    const auto check = [&](const std::string &what, const std::string &ip, std::uint16_t port,
                           const std::string &wire) {
        const int status = statusOf(ip, port, wire);
        std::cout << "calm, " << what << ": status=" << status << std::endl;
        if (isRejection(status))
            isPassed = fail("calm", what + " was rejected");
    };
    const std::string front = SmallCell::EntryIp;
    const std::string control = SmallCell::KeeperIp;
    const std::string body(jobbodies::MaxBodyBytes, '7');
    check("largest body", front, SmallCell::FrontPort, declaredRequest("POST", "/q/1", body));
    check("largest body in chunks of one byte", front, SmallCell::FrontPort,
          chunkedRequest("/q/1", body, 1));
    check("operator's document", control, SmallCell::ControlPort,
          declaredRequest("POST", "/config/put", document));
    check("operator's document in chunks", control, SmallCell::ControlPort,
          chunkedRequest("/config/put", document, 10));
    check("heartbeat", control, SmallCell::ControlPort,
          declaredRequest("POST", "/instances/w/heartbeat", std::string(Heartbeat, '7')));
    return (cell.entry().isAlive() && cell.keeper().isAlive()) && isPassed;
}

/** Guards against limits that reject a single job inside the limits of ordinary clients, on the
 * smallest machines. */
bool runCalmJobs(const std::string &binary, const std::string &folder)
{
    constexpr HostLimits SmallestKeeper = {256, 4096};
    constexpr HostLimits SmallestEntry = {120, 3075};
    constexpr int HttpOk = 200;
    SmallCell cell(binary, folder, SmallestKeeper, SmallestEntry);
    if (!cell.start(0))
        return fail("calm-jobs", "the cell did not serve");
    const std::string path = "/q/00000000000000a";
    const std::vector<std::pair<std::string, std::string>> jobs = {
            {path + '0', declaredRequest("POST", path + '0', jobbodies::ordinarySteps())},
            {path + '1', chunkedRequest(path + '1', jobbodies::ordinarySteps(), 1)},
            {path + '2', declaredRequest("POST", path + '2', jobbodies::smallestSteps())},
            {path + '3', chunkedRequest(path + '3', jobbodies::smallestSteps(), 1)},
            {path + '4', declaredRequest("POST", path + '4', jobbodies::manyTasks())},
    };
    bool isPassed = true;
    for (const auto &[job, request] : jobs) {
        const int accepted = statusOf(SmallCell::EntryIp, SmallCell::FrontPort, request);
        const int shown = statusOf(SmallCell::EntryIp, SmallCell::FrontPort,
                                   declaredRequest("GET", job, {}));
        std::cout << "calm-jobs, " << job << ": bytes=" << request.size()
                  << " accepted=" << accepted << " shown=" << shown << std::endl;
        if (accepted != HttpOk || shown != HttpOk)
            isPassed = fail("calm-jobs", job + " was not accepted and shown");
    }
    for (const HostProcess *host : {&cell.entry(), &cell.keeper()}) {
        std::cout << "calm-jobs: memory_mb=" << host->peakMemoryMb()
                  << " limit=" << host->limits.memoryMb << std::endl;
        if (!host->isAlive() || host->peakMemoryMb() > host->limits.memoryMb)
            isPassed = fail("calm-jobs", "a process has ended or is over its memory");
    }
    return isPassed;
}

} // namespace

/** Sends what untrusted clients may send to real processes; exits with 1 if a check failed. */
int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    if (sodium_init() < 0)
        return 1;
    TCLAP::CmdLine line("sends what untrusted clients may send to a cell of real processes");
    TCLAP::ValueArg<std::string> binary("", "binary", "", true, "", "path", line);
    TCLAP::ValueArg<std::string> folder("", "folder", "", true, "", "path", line);
    TCLAP::ValueArg<std::string> only("", "case", "runs one case", false, "", "name", line);
    TCLAP::ValueArg<std::string> knownRed("", "known-red", "file of tests known to fail", false, "",
                                          "path", line);
    line.parse(argc, argv);
    const std::set<std::string> red = readKnownRed(knownRed.getValue());

    int failed = 0;
    const auto run = [&](const std::string &name, const std::function<bool()> &check) {
        if ((!only.getValue().empty() && only.getValue() != name) || check())
            return;
        const std::string entry = "untrusted-clients-" + name;
        const bool isRed = red.contains(entry);
        std::cout << (isRed ? "KNOWN RED: " : "BROKEN: ") << entry << std::endl;
        failed += isRed ? 0 : 1;
    };
    const std::string root = folder.getValue() + '/';
    run("calm", [&] { return runCalm(binary.getValue(), root + "calm"); });
    run("calm-jobs", [&] { return runCalmJobs(binary.getValue(), root + "calm-jobs"); });
    for (const CrowdCase &testCase : crowdCases()) {
        run(testCase.name,
            [&] { return runCrowd(testCase, binary.getValue(), root + testCase.name); });
    }
    std::cout << "untrusted clients: " << failed << " failed\n";
    return failed == 0 ? 0 : 1;
}
