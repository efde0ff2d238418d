#include "drivers/connection_budget.h"

#include <catch2/catch.hpp>

using namespace gentiancross;

namespace {

constexpr std::size_t Kibibyte = 1024;
constexpr ConnectionLimits Limits = {400 * Kibibyte, 30, 20, Milliseconds(1000)};

class RecordingConnection final : public ClosableConnection
{
public:
    void abort() override { ++aborts; }

    int aborts = 0;
};

/** Connections of a budget with the limits above. */
class Crowd
{
public:
    std::size_t add(const std::string &client, Instant now)
    {
        connections.push_back(std::make_unique<RecordingConnection>());
        ids.push_back(budget.add(client, *connections.back(), now));
        return ids.size() - 1;
    }

    /** Adds a connection whose request holds this much. */
    std::size_t receive(const std::string &client, std::size_t bytes, Instant now)
    {
        const std::size_t index = add(client, now);
        budget.enter(ids[index], ConnectionPhase::Receiving, now);
        budget.hold(ids[index], bytes, now);
        return index;
    }

    [[nodiscard]] bool isClosed(std::size_t index) const { return connections[index]->aborts > 0; }

    [[nodiscard]] std::size_t closed() const
    {
        std::size_t count = 0;
        for (std::size_t index = 0; index < connections.size(); ++index)
            count += isClosed(index) ? 1 : 0;
        return count;
    }

    ConnectionBudget budget{Limits};
    std::vector<std::unique_ptr<RecordingConnection>> connections;
    std::vector<ConnectionId> ids;
};

std::uint64_t countOf(const Crowd &crowd, Rejection reason)
{
    return crowd.budget.totals().rejected.at(static_cast<std::size_t>(reason));
}

} // namespace

TEST_CASE("Of unfinished bodies the one that holds most for longest is closed first")
{
    // Guards against closing the request of an ordinary caller, which is small or new.
    Crowd crowd;
    const std::size_t old = crowd.receive("abusive", 150 * Kibibyte, Instant(0));
    const std::size_t recent = crowd.receive("abusive", 150 * Kibibyte, Instant(900));
    const std::size_t small = crowd.receive("abusive", 1 * Kibibyte, Instant(0));
    const std::size_t ordinary = crowd.receive("abusive", 100 * Kibibyte, Instant(1000));
    CHECK(crowd.isClosed(old));
    CHECK_FALSE(crowd.isClosed(recent));
    CHECK_FALSE(crowd.isClosed(small));
    CHECK_FALSE(crowd.isClosed(ordinary));
    CHECK(countOf(crowd, Rejection::Memory) == 1);
}

TEST_CASE("A client with one large document does not go before another client's many connections")
{
    Crowd crowd;
    const std::size_t document = crowd.receive("operator", 150 * Kibibyte, Instant(0));
    for (int count = 0; count < 10; ++count)
        crowd.receive("abusive", 40 * Kibibyte, Instant(0));
    CHECK_FALSE(crowd.isClosed(document));
    CHECK(crowd.closed() > 0);
}

TEST_CASE("A request that was handed on is not closed, and its bytes count")
{
    // Guards against a caller that can't tell whether its request has run.
    Crowd crowd;
    const std::size_t decided = crowd.receive("a", 350 * Kibibyte, Instant(0));
    crowd.budget.enter(crowd.ids[decided], ConnectionPhase::Deciding, Instant(0));
    const std::size_t late = crowd.receive("b", 100 * Kibibyte, Instant(1));
    CHECK_FALSE(crowd.isClosed(decided));
    CHECK(crowd.isClosed(late));
    CHECK_FALSE(crowd.budget.hold(crowd.ids[late], 1, Instant(2)));
}

TEST_CASE("An unread answer is closed for memory, a connection of a peer is not")
{
    Crowd crowd;
    const std::size_t peer = crowd.receive("peer", 300 * Kibibyte, Instant(0));
    crowd.budget.trust(crowd.ids[peer]);
    const std::size_t unread = crowd.receive("a", 50 * Kibibyte, Instant(0));
    crowd.budget.enter(crowd.ids[unread], ConnectionPhase::Answering, Instant(0));
    crowd.receive("b", 50 * Kibibyte, Instant(1));
    CHECK_FALSE(crowd.isClosed(peer));
    CHECK(crowd.isClosed(unread));
}

TEST_CASE("Beyond the limit for a client only its own connections are closed, silent ones first")
{
    // Guards against one client that takes all connections from others.
    Crowd crowd;
    const std::size_t other = crowd.add("other", Instant(0));
    const std::size_t served = crowd.add("abusive", Instant(0));
    crowd.budget.enter(crowd.ids[served], ConnectionPhase::Answering, Instant(1));
    crowd.budget.enter(crowd.ids[served], ConnectionPhase::Idle, Instant(1));
    for (std::size_t count = 1; count <= Limits.connectionsPerClient; ++count)
        crowd.add("abusive", Instant(2));
    CHECK(crowd.closed() == 1);
    CHECK_FALSE(crowd.isClosed(other));
    CHECK_FALSE(crowd.isClosed(served));
    CHECK(countOf(crowd, Rejection::ClientConnections) == 1);
}

TEST_CASE("A new connection beyond the limit takes the place of the one that is idle for longest")
{
    // Guards against silent connections that keep ordinary callers out.
    Crowd crowd;
    for (std::size_t count = 0; count <= Limits.connections; ++count)
        crowd.add(std::to_string(count), Instant(static_cast<std::int64_t>(count)));
    CHECK(crowd.isClosed(0));
    CHECK(crowd.closed() == 1);
    CHECK(crowd.budget.totals().connections == Limits.connections);
}

TEST_CASE("Requests and answers that take longer than the limit are closed, decisions are not")
{
    Crowd crowd;
    const std::size_t receiving = crowd.receive("a", 1, Instant(0));
    const std::size_t deciding = crowd.receive("a", 1, Instant(0));
    crowd.budget.enter(crowd.ids[deciding], ConnectionPhase::Deciding, Instant(0));
    crowd.budget.closeOverdue(Instant(1000));
    CHECK(crowd.closed() == 0);
    crowd.budget.closeOverdue(Instant(1001));
    CHECK(crowd.isClosed(receiving));
    CHECK_FALSE(crowd.isClosed(deciding));
}

TEST_CASE("What closed connections held is free again, and each is closed once")
{
    Crowd crowd;
    for (int turn = 0; turn < 50; ++turn) {
        const std::size_t index
                = crowd.receive("a", 300 * Kibibyte, Instant(static_cast<std::int64_t>(turn)));
        CHECK(crowd.budget.totals().bytes <= Limits.bytes);
        if (turn % 2 == 0)
            crowd.budget.remove(crowd.ids[index]);
    }
    for (const ConnectionId id : crowd.ids)
        crowd.budget.remove(id);
    CHECK(crowd.budget.totals().bytes == 0);
    CHECK(crowd.budget.totals().connections == 0);
    for (const auto &connection : crowd.connections)
        CHECK(connection->aborts <= 1);
}

TEST_CASE("Default limits leave room for ordinary clients on the smallest machine")
{
    const ConnectionLimits smallest = deriveConnectionLimits(Mebibytes(120), 3075);
    CHECK(smallest.connectionsPerClient >= 1000);
    CHECK(smallest.bytes >= std::size_t(100) * 262'144);
    const ConnectionLimits keeper = deriveConnectionLimits(Mebibytes(384), 4096);
    CHECK(keeper.bytes >= std::size_t(20) * (4 << 20));
}
