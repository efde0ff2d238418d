#include "servers/peer_link.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <iterator>

using namespace gentiancross;

namespace {

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

// Guards against malformed names of hosts that each cost a thread.
TEST_CASE("A host whose name is no address costs no thread")
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
