#include "control/minute_recorder.h"

#include <catch2/catch.hpp>

using namespace gentiancross;

namespace {

constexpr std::int64_t Wall = 1'800'000'000'000;

/** An authority that is alone, with its ledger. */
struct Keeper
{
    HostDirectory directory = makeDirectory();
    Identity identity{ReplicaId("a#m-1"), SessionId("s")};
    AuthorityData authority{Epoch(1), identity.replica, identity.session, {}, {identity.replica}};
    DataCentreCopy copy;
    Outbox out{false};
    MirrorSet mirrors{directory, identity, DataCentreId("hobart"), authority, {}, Instant(0), out};
    RecordWriter records{DataCentreId("hobart"), copy, mirrors};
    MinuteRecorder day{records};

    static HostDirectory makeDirectory()
    {
        HostDirectory directory;
        directory.self = HostId("a");
        directory.hosts[HostId("a")] = {HostId("a"), DataCentreId("hobart"), false};
        return directory;
    }

    LedgerPage page() { return copy.ledger().pages().at(halfHourOf(Milliseconds(Wall))); }
};

DataCentreSample unequal()
{
    DataCentreSample look;
    look.usable = MilliCores(1'000);
    look.teams[TeamId("greedy")] = {1, MilliCores(900), MilliCores(900)};
    look.teams[TeamId("starved")] = {1, MilliCores(100), MilliCores(800)};
    return look;
}

} // namespace

TEST_CASE("Each minute is marked once, and carries what was seen since the last mark")
{
    Keeper keeper;
    for (std::int64_t second = 0; second <= 60; ++second)
        keeper.day.look(Instant(second * 1000), Milliseconds(Wall + second * 1000), unequal(),
                        keeper.out);
    CHECK(keeper.records.last() == RecordSequence(2));
    const LedgerPage page = keeper.page();
    CHECK(page.minutes == 3);
    CHECK(page.facts.clockJumps.empty());
    CHECK(page.facts.fit.all == 61);
    CHECK(page.facts.shares.at(TeamId("starved")).belowFairShare == 61);
    CHECK(page.facts.shares.at(TeamId("starved")).worstShortfallPermille == 400);
    CHECK_FALSE(page.facts.shares.contains(TeamId("greedy")));
}

TEST_CASE("A clock that jumps either way is told at once")
{
    Keeper keeper;
    keeper.day.look(Instant(0), Milliseconds(Wall), {}, keeper.out);
    keeper.day.look(Instant(1000), Milliseconds(Wall + 6'000), {}, keeper.out);
    keeper.day.look(Instant(2000), Milliseconds(Wall + 2'000), {}, keeper.out);
    CHECK(keeper.page().facts.clockJumps
          == std::vector<Milliseconds>{Milliseconds(5'000), Milliseconds(-5'000)});
}

TEST_CASE("A new authority whose clock is behind that of the former one says so")
{
    Keeper keeper;
    keeper.day.look(Instant(0), Milliseconds(Wall + 60'000), {}, keeper.out);
    MinuteRecorder successor(keeper.records);
    successor.look(Instant(5), Milliseconds(Wall), {}, keeper.out);
    CHECK(keeper.page().facts.clockJumps == std::vector<Milliseconds>{Milliseconds(-60'000)});
}

TEST_CASE("A freeze is no jump of the clock")
{
    Keeper keeper;
    keeper.day.look(Instant(0), Milliseconds(Wall), {}, keeper.out);
    keeper.day.look(Instant(90'000), Milliseconds(Wall + 90'000), {}, keeper.out);
    CHECK(keeper.page().facts.clockJumps.empty());
    CHECK(keeper.page().minutes == 3);
}
