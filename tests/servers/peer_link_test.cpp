#include "servers/peer_link.h"

#include "drivers/codec.h"
#include "drivers/connection_limits.h"
#include "drivers/rpc/rpc_envelope.h"

#include <absl/strings/str_cat.h>
#include <arpa/inet.h>
#include <array>
#include <catch2/catch.hpp>
#include <cerrno>
#include <filesystem>
#include <iterator>
#include <netinet/in.h>
#include <sys/socket.h>
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

/** A peer that accepts connections and never reads from them. */
class BusyPeer
{
public:
    BusyPeer()
        : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address = {};
        address.sin_family = AF_INET;
        ::inet_pton(AF_INET, PeerIp, &address.sin_addr);
        REQUIRE(::bind(m_socket, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0);
        REQUIRE(::listen(m_socket, 8) == 0);
        socklen_t length = sizeof address;
        REQUIRE(::getsockname(m_socket, reinterpret_cast<sockaddr *>(&address), &length) == 0);
        m_name = std::string(PeerIp) + ':' + std::to_string(ntohs(address.sin_port));
    }
    BusyPeer(const BusyPeer &) = delete;
    BusyPeer &operator=(const BusyPeer &) = delete;
    ~BusyPeer()
    {
        for (const int connection : m_connections)
            ::close(connection);
        ::close(m_socket);
    }

    [[nodiscard]] HostId name() const { return HostId(m_name); }
    /** Waits for a connection and returns it. */
    int accept()
    {
        m_connections.push_back(::accept(m_socket, nullptr, nullptr));
        REQUIRE(m_connections.back() >= 0);
        return m_connections.back();
    }

    /** True unless the caller has closed the connection. */
    static bool isOpen(int connection)
    {
        std::array<char, 65'536> bytes = {};
        ssize_t count = 0;
        do {
            count = ::recv(connection, bytes.data(), bytes.size(), MSG_DONTWAIT);
        } while (count > 0);
        return count < 0 && errno == EAGAIN;
    }

private:
    int m_socket;
    std::string m_name;
    std::vector<int> m_connections;
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
    ByteBudget decodedCalls(deriveDecodedCallBytes());
    PeerLink link({HostId("10.0.0.1:7400"), {}, "", true}, events, decodedCalls);
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
    ByteBudget decodedCalls(deriveDecodedCallBytes());
    PeerLink link({HostId("self"), {}, "", false}, events, decodedCalls);
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
        CHECK(countReceived(absl::StrCat(R"(["b",)", good, ",", bad, ",", good, "]")) == 2);
    CHECK(countReceived(R"(["b",)" + good + "," + oddBytes + "]") == 2);
    for (const char *bad : {"[5,", "]", "tru", "[1 2]", "[5}", ""})
        CHECK(countReceived(absl::StrCat(R"(["b",)", good, ",", bad, ",", good, "]")) == 0);
    CHECK(countReceived(R"(["b",)" + good + "] 1") == 0);
    CHECK(countReceived(R"(["b"])") == 0);
}

// Guards against a leader that runs out of memory by what entry hosts relay to it.
TEST_CASE("A relayed submission without room is passed on without its specification")
{
    RecordedEvents events;
    ByteBudget decodedCalls(Bytes(1));
    PeerLink link({HostId("self"), {}, "", false}, events, decodedCalls);
    JobSpec spec;
    spec.steps.resize(2);
    const JobCall job{JobVerb::Submit, "h", "/q/1", {}, spec, {}};
    const std::string message = codec::encode(
            PeerMessage(RelayCallRequest{ExchangeId(7), CellCall(job), SessionId("s")}));
    const std::string batch = R"(["b",[5,)" + message + "],[5," + message + "]]";
    link.dispatch(rpcenvelope::wrap("deliver", batch));
    REQUIRE(events.events.size() == 2);
    const auto received = [&](std::size_t index) {
        const auto &event = std::get<PeerMessageReceived>(events.events.at(index));
        return std::get<JobCall>(std::get<RelayCallRequest>(event.message).call);
    };
    CHECK(received(0).spec->steps.size() == 2);
    CHECK_FALSE(received(1).spec.has_value());
    CHECK(received(1).isShed);
    CHECK(received(1).path == "/q/1");
    events.events.clear();
    CHECK(decodedCalls.reserved() == Bytes(0));
}

// Guards against orders to workers that expire while a configuration is sent to the same keeper.
TEST_CASE("Small messages to a peer don't wait for a large one")
{
    BusyPeer peer;
    NullEventSink events;
    ByteBudget decodedCalls(deriveDecodedCallBytes());
    PeerLink link({HostId("127.0.0.1:1"), {}, "", true}, events, decodedCalls);
    link.carryOut(SendToPeer{peer.name(), makeLargeMessage(), 0});
    const int large = peer.accept();
    link.carryOut(SendToPeer{peer.name(), TimeoutNow{}, 0});
    peer.accept();
    CHECK(BusyPeer::isOpen(large));
    link.stop();
}
