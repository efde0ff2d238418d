#include "control/minute_recorder.h"

#include <catch2/catch.hpp>

using namespace gentiancross;

namespace {

constexpr std::int64_t Wall = 1'800'000'000'000;

/** An authority without mirrors, and its ledger. */
struct RecorderFixture
{
    HostDirectory directory = makeDirectory();
    Identity identity{ReplicaId("a#m-1"), SessionId("s")};
    AuthorityData authority{Epoch(1), identity.replica, identity.session, {}, {identity.replica}};
    DataCentreCopy copy;
    Outbox out{false};
    MirrorSet mirrors{directory, identity, DataCentreId("hobart"), authority, {}, Instant(0), out};
    RecordWriter records{DataCentreId("hobart"), copy, mirrors};
    MinuteRecorder recorder{records};

    static HostDirectory makeDirectory()
    {
        HostDirectory directory;
        directory.self = HostId("a");
        directory.hosts[HostId("a")] = {HostId("a"), DataCentreId("hobart"), false};
        return directory;
    }

    LedgerPage page() { return copy.ledger().pages().at(halfHourOf(Milliseconds(Wall))); }
};

DataCentreSample unequalSample()
{
    DataCentreSample sample;
    sample.usable = MilliCores(1'000);
    sample.teams[TeamId("greedy")] = {1, MilliCores(900), MilliCores(900)};
    sample.teams[TeamId("starved")] = {1, MilliCores(100), MilliCores(800)};
    return sample;
}

} // namespace

TEST_CASE("Each minute is recorded once, with the samples since the previous record")
{
    RecorderFixture fixture;
    for (std::int64_t second = 0; second <= 60; ++second)
        fixture.recorder.addSample(Instant(second * 1000), Milliseconds(Wall + second * 1000),
                                   unequalSample(), fixture.out);
    CHECK(fixture.records.last() == RecordSequence(2));
    const LedgerPage page = fixture.page();
    CHECK(page.minutes == 3);
    CHECK(page.facts.clockJumps.empty());
    CHECK(page.facts.fit.all == 61);
    CHECK(page.facts.shares.at(TeamId("starved")).belowFairShare == 61);
    CHECK(page.facts.shares.at(TeamId("starved")).worstShortfallPermille == 400);
    CHECK_FALSE(page.facts.shares.contains(TeamId("greedy")));
}

TEST_CASE("A clock jump in either direction is recorded at once")
{
    RecorderFixture fixture;
    fixture.recorder.addSample(Instant(0), Milliseconds(Wall), {}, fixture.out);
    fixture.recorder.addSample(Instant(1000), Milliseconds(Wall + 6'000), {}, fixture.out);
    fixture.recorder.addSample(Instant(2000), Milliseconds(Wall + 2'000), {}, fixture.out);
    CHECK(fixture.page().facts.clockJumps
          == std::vector<Milliseconds>{Milliseconds(5'000), Milliseconds(-5'000)});
}

TEST_CASE("A new authority records that its clock is behind that of its predecessor")
{
    RecorderFixture fixture;
    fixture.recorder.addSample(Instant(0), Milliseconds(Wall + 60'000), {}, fixture.out);
    MinuteRecorder successor(fixture.records);
    successor.addSample(Instant(5), Milliseconds(Wall), {}, fixture.out);
    CHECK(fixture.page().facts.clockJumps == std::vector<Milliseconds>{Milliseconds(-60'000)});
}

TEST_CASE("A frozen process is not taken for a clock jump")
{
    RecorderFixture fixture;
    fixture.recorder.addSample(Instant(0), Milliseconds(Wall), {}, fixture.out);
    fixture.recorder.addSample(Instant(90'000), Milliseconds(Wall + 90'000), {}, fixture.out);
    CHECK(fixture.page().facts.clockJumps.empty());
    CHECK(fixture.page().minutes == 3);
}
