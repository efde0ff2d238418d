#include "tests/clients/client_crowd.h"
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
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>

using namespace gentiancross;
using namespace gentiancross::tests;

namespace {

constexpr std::size_t LegalBody = 262'144;
constexpr std::size_t MebibyteBody = 1 << 20;
constexpr std::size_t HugeBody = 64 << 20;
/** How long a crowd is active before ordinary calls are made beside it. */
constexpr std::chrono::seconds CrowdTime{5};
constexpr std::chrono::milliseconds SampleInterval{50};
/** The bounds of a case are the limits in the settings of the host that it is about. */
constexpr HostLimits KeeperLimits = {96, 1024};
constexpr HostLimits EntryLimits = {48, 1024};
constexpr HostLimits FewDescriptors = {48, 256};
constexpr HostLimits FewKeeperDescriptors = {96, 256};
/** Operators' documents and heartbeats are sent to a keeper with the memory of a real one. */
constexpr HostLimits RealKeeperLimits = {384, 4096};

enum class Target { Front, Ready, Control, Peer, Metrics };

struct CrowdCase
{
    std::string name;
    Target target;
    std::size_t crowd;
    ClientScript script;
    HostLimits limits;
    std::size_t configurationBytes = 0;
};

std::string head(const std::string &method, const std::string &path, const std::string &header)
{
    return method + ' ' + path + " HTTP/1.1\r\nHost: jobs.example\r\nAuthorization: Token key\r\n"
            + header + "\r\n";
}

/** A request with a declared length of which \a sent bytes are sent. */
ClientScript declared(const std::string &path, std::size_t length, std::size_t sent)
{
    return {head("POST", path, "Content-Length: " + std::to_string(length) + "\r\n")
            + std::string(sent, '7')};
}

/** A chunked request without its last chunk. */
std::string chunked(const std::string &path, std::size_t length, std::size_t chunkBytes)
{
    std::string wire = head("POST", path, "Transfer-Encoding: chunked\r\n");
    std::ostringstream size;
    size << std::hex << chunkBytes;
    const std::string chunk = size.str() + "\r\n" + std::string(chunkBytes, '7') + "\r\n";
    for (std::size_t sent = 0; sent < length; sent += chunkBytes)
        wire += chunk;
    return wire;
}

/** The last part of the body arrives one byte at a time. */
ClientScript trickled(ClientScript script)
{
    constexpr std::size_t TrickledBytes = 1000;
    script.trickleFrom = script.wire.size() - TrickledBytes;
    return script;
}

ClientScript repeated(const std::string &request, int times, bool readsAnswers)
{
    ClientScript script;
    for (int time = 0; time < times; ++time)
        script.wire += request;
    script.readsAnswers = readsAnswers;
    return script;
}

ClientScript endlessHeader()
{
    ClientScript script{"POST /q/ HTTP/1.1\r\nX-Padding: " + std::string(1000, 'x')};
    return trickled(std::move(script));
}

std::vector<CrowdCase> crowdCases()
{
    const std::string status = head("GET", "/q/1", "");
    const std::string document = head("GET", "/config/get", "");
    const std::string metrics = head("GET", "/metrics", "");
    const std::string put = "/config/put";
    return {
            {"front-whole", Target::Front, 200, declared("/q/1", LegalBody, LegalBody - 1),
             EntryLimits},
            {"front-pieces", Target::Front, 200,
             trickled(declared("/q/1", LegalBody, LegalBody - 1)), EntryLimits},
            {"front-complete", Target::Front, 200, declared("/q/1", LegalBody, LegalBody),
             EntryLimits},
            {"front-large-chunks",
             Target::Front,
             200,
             {chunked("/q/1", LegalBody, 32 << 10)},
             EntryLimits},
            {"front-small-chunks",
             Target::Front,
             200,
             {chunked("/q/1", LegalBody, 1)},
             EntryLimits},
            {"front-announced", Target::Front, 100, declared("/q/1", HugeBody, 8 << 20),
             EntryLimits},
            {"front-simply-sent",
             Target::Front,
             50,
             {chunked("/q/1", 16 << 20, 32 << 10)},
             EntryLimits},
            {"front-headers", Target::Front, 400, endlessHeader(), FewDescriptors},
            {"front-silent", Target::Front, 400, {}, FewDescriptors},
            {"front-unread", Target::Front, 200, repeated(status, 2000, false), EntryLimits},
            {"front-pipelined", Target::Front, 200, repeated(status, 2000, true), EntryLimits},
            {"ready-whole", Target::Ready, 200, declared("/", LegalBody, LegalBody - 1),
             EntryLimits},
            {"ready-silent", Target::Ready, 400, {}, FewDescriptors},
            {"control-whole", Target::Control, 200, declared(put, MebibyteBody, MebibyteBody - 1),
             KeeperLimits},
            {"control-small-chunks",
             Target::Control,
             200,
             {chunked(put, MebibyteBody, 16)},
             KeeperLimits},
            {"control-announced", Target::Control, 100, declared(put, HugeBody, 8 << 20),
             KeeperLimits},
            {"control-headers", Target::Control, 400, endlessHeader(), FewKeeperDescriptors},
            {"control-unread", Target::Control, 200, repeated(document, 20, false), KeeperLimits,
             MebibyteBody},
            {"peer-whole", Target::Peer, 200, declared("/rpc", MebibyteBody, MebibyteBody - 1),
             EntryLimits},
            {"peer-small-chunks", Target::Peer, 200, {chunked("/rpc", LegalBody, 1)}, EntryLimits},
            {"peer-announced", Target::Peer, 100, declared("/rpc", HugeBody, 8 << 20), EntryLimits},
            {"peer-silent", Target::Peer, 400, {}, FewDescriptors},
            {"metrics-whole", Target::Metrics, 200,
             declared("/metrics", MebibyteBody, MebibyteBody - 1), EntryLimits},
            {"metrics-unread", Target::Metrics, 200, repeated(metrics, 500, false), EntryLimits},
            {"metrics-silent", Target::Metrics, 400, {}, FewDescriptors},
    };
}

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

/** Checks that a crowd neither ends a host nor takes it over its limits, and that ordinary calls
 * are answered beside the crowd. */
bool runCrowd(const CrowdCase &testCase, const std::string &binary, const std::string &folder)
{
    const bool isKeeper = testCase.target == Target::Control;
    const HostLimits unlimited = RealKeeperLimits;
    SmallCell cell(binary, folder, isKeeper ? testCase.limits : unlimited,
                   isKeeper ? unlimited : testCase.limits);
    if (!cell.start(testCase.configurationBytes))
        return fail(testCase.name, "the cell did not serve");
    const HostProcess &host = isKeeper ? cell.keeper() : cell.entry();
    const std::size_t memoryBefore = host.peakMemoryMb();
    // Half of the clients share the address of the ordinary callers, as behind a load balancer.
    ClientCrowd crowd(testCase.script, testCase.crowd,
                      isKeeper ? SmallCell::KeeperIp : SmallCell::EntryIp, portOf(testCase.target),
                      {"127.0.0.1", "127.77.2.1"});
    crowd.start();
    std::size_t descriptors = 0;
    const auto end = std::chrono::steady_clock::now() + CrowdTime;
    while (std::chrono::steady_clock::now() < end) {
        descriptors = std::max(descriptors, host.openDescriptors());
        std::this_thread::sleep_for(SampleInterval);
    }
    const bool isServing = cell.answersOrdinaryCalls();
    const std::size_t closed = crowd.closedConnections();
    crowd.stop();
    bool isPassed = isServing || fail(testCase.name, "ordinary calls were not answered");
    if (!host.isAlive())
        return fail(testCase.name, "the process has ended");
    const std::size_t memory = host.peakMemoryMb();
    std::cout << testCase.name << ": memory_mb=" << memory << " before=" << memoryBefore
              << " limit=" << host.limits.memoryMb << " descriptors=" << descriptors
              << " limit=" << host.limits.maxFds << " closed=" << closed << std::endl;
    if (memory > host.limits.memoryMb)
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
    constexpr std::size_t OperatorDocument = 3'000'000;
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
    check("largest body", front, SmallCell::FrontPort, declared("/q/1", LegalBody, LegalBody).wire);
    check("largest body in chunks of one byte", front, SmallCell::FrontPort,
          chunked("/q/1", LegalBody, 1) + "0\r\n\r\n");
    check("operator's document", control, SmallCell::ControlPort,
          declared("/config/put", OperatorDocument, OperatorDocument).wire);
    check("operator's document in chunks", control, SmallCell::ControlPort,
          chunked("/config/put", OperatorDocument, 10) + "0\r\n\r\n");
    check("heartbeat", control, SmallCell::ControlPort,
          declared("/instances/w/heartbeat", Heartbeat, Heartbeat).wire);
    return (cell.entry().isAlive() && cell.keeper().isAlive()) && isPassed;
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
    for (const CrowdCase &testCase : crowdCases()) {
        run(testCase.name,
            [&] { return runCrowd(testCase, binary.getValue(), root + testCase.name); });
    }
    std::cout << "untrusted clients: " << failed << " failed\n";
    return failed == 0 ? 0 : 1;
}
