#include "servers/peer_link.h"

#include "drivers/http_listener.h"
#include "drivers/rpc/rpc_envelope.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <filesystem>
#include <future>
#include <iterator>
#include <unistd.h>

using namespace gentiancross;

namespace {

struct RecordedEvents final : EventSink
{
    void post(EventPayload payload) override { events.push_back(std::move(payload)); }
    std::vector<EventPayload> events;
};

struct NullEventSink final : EventSink
{
    void post(EventPayload) override {}
};

constexpr char PeerIp[] = "127.9.9.5";

std::uint16_t peerPort()
{
    // Test programs that run in parallel must not use the same port.
    return static_cast<std::uint16_t>(20'000 + ::getpid() % 20'000);
}

/** A peer that leaves large calls unanswered. */
class BusyPeer final : public HttpHandler
{
public:
    BusyPeer()
        : m_listener(*this, HttpListener::MaxPeerBodyBytes)
    {
        REQUIRE(m_listener.start(PeerIp, peerPort()).ok());
    }

    ~BusyPeer() override { m_listener.stop(); }

    void handleRequest(HttpToken token, HttpRequest request) override
    {
        constexpr std::size_t LargeBytes = 1 << 20;
        if (request.body.size() > LargeBytes) {
            m_large.set_value();
            return;
        }
        HttpResponse response;
        response.body = std::make_shared<const std::string>();
        m_listener.respond(token, std::move(response));
        if (!m_hasSmall.exchange(true))
            m_small.set_value(m_broken);
    }

    void handleDisconnect(HttpToken) override { ++m_broken; }

    std::future<void> large() { return m_large.get_future(); }
    /** The number of large calls that were given up before the first small one came. */
    std::future<int> small() { return m_small.get_future(); }

private:
    HttpListener m_listener;
    std::promise<void> m_large;
    std::promise<int> m_small;
    std::atomic<bool> m_hasSmall = false;
    std::atomic<int> m_broken = 0;
};

PeerMessage makeLargeMessage()
{
    ConfigDocument document;
    document.source = std::string(2 << 20, 'x');
    AppendRequest append;
    append.entries.push_back(std::make_shared<const LogEntry>(
            LogEntry{LogIndex(1), Term(1), ProposalId(),
                     ReplicatedCommand(JobChanges{{DocumentAccepted{document}}})}));
    return append;
}

std::ptrdiff_t countThreads()
{
    return std::distance(std::filesystem::directory_iterator("/proc/self/task"),
                         std::filesystem::directory_iterator());
}

} // namespace

// Guards against starting a sending thread for every malformed host name.
TEST_CASE("No thread is started for a host whose name is not an address")
{
    NullEventSink events;
    PeerLink link({HostId("10.0.0.1:7400"), {}, "", true}, events);
    const std::ptrdiff_t before = countThreads();
    for (const char *name : {"", "x", "10.0.0.2", "10.0.0.2:", ":7400", "10.0.0.2:70000", "a:1"})
        link.carryOut(SendToPeer{HostId(name), TimeoutNow{}, 0});
    CHECK(countThreads() == before);
    link.carryOut(SendToPeer{HostId("127.0.0.9:1"), TimeoutNow{}, 0});
    CHECK(countThreads() == before + 1);
    link.stop();
}

TEST_CASE("A message that can't be decoded is dropped alone, and a malformed batch as a whole")
{
    RecordedEvents events;
    PeerLink link({HostId("self"), {}, "", false}, events);
    const auto countReceived = [&](const std::string &batch) {
        events.events.clear();
        link.dispatch(rpcenvelope::wrap("deliver", batch));
        return events.events.size();
    };
    const std::string good = R"([5,[1,["a#d-1",7,3,2,true]]])";
    const std::string oddBytes = "[5,[1,[\"\xff\",7,3,2,true]]]";
    CHECK(countReceived(R"(["b",)" + good + "," + good + "]") == 2);
    CHECK(std::get<PeerMessageReceived>(events.events.back()).from == HostId("b"));
    for (const char *bad : {"1", "[5]", "[5,[999,[]]]", "[-5,[1,[]]]", "[5,[1,[1]]]", "{}"})
        CHECK(countReceived(R"(["b",)" + good + "," + bad + "," + good + "]") == 2);
    CHECK(countReceived(R"(["b",)" + good + "," + oddBytes + "]") == 2);
    for (const char *bad : {"[5,", "]", "tru", "[1 2]", "[5}", ""})
        CHECK(countReceived(R"(["b",)" + good + "," + bad + "," + good + "]") == 0);
    CHECK(countReceived(R"(["b",)" + good + "] 1") == 0);
    CHECK(countReceived(R"(["b"])") == 0);
}

// Guards against orders to workers that expire while a configuration is sent to the same keeper.
TEST_CASE("Small messages to a peer don't wait for a large one")
{
    constexpr std::chrono::seconds Patience{20};
    BusyPeer peer;
    std::future<void> large = peer.large();
    std::future<int> small = peer.small();
    NullEventSink events;
    PeerLink link({HostId("127.0.0.1:1"), {}, "", true}, events);
    const HostId name(std::string(PeerIp) + ':' + std::to_string(peerPort()));
    link.carryOut(SendToPeer{name, makeLargeMessage(), 0});
    REQUIRE(large.wait_for(Patience) == std::future_status::ready);
    link.carryOut(SendToPeer{name, TimeoutNow{}, 0});
    REQUIRE(small.wait_for(Patience) == std::future_status::ready);
    CHECK(small.get() == 0);
    link.stop();
}
