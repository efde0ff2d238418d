#include "drivers/rpc/rpc_envelope.h"
#include "servers/peer_link.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <iterator>

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
