#include "control/data_centre_copy.h"
#include "control/fair_shares.h"
#include "tests/control/solo_host.h"

#include <catch2/catch.hpp>

#include <random>

using namespace gentiancross;
using gentiancross::tests::SoloHost;

namespace {

const DataCentreId hobart("hobart");
const WorkClass shorts{TeamId("t"), WorkKind::Short, false};
constexpr std::int64_t Start = 1'800'000'000'000;

RequestAccepted accepted(const std::string &name, std::int64_t wall)
{
    WorkSpec spec;
    return {RequestId(name), TeamId("t"), spec, Milliseconds(wall)};
}

TaskStarting starting(const std::string &name, std::int64_t wall, std::uint32_t attempt = 1)
{
    return {RequestId(name),        0, attempt, WorkerId("w"), Milliseconds(wall),
            WaitCause::FreeCapacity};
}

RequestEnded ended(const std::string &name, Outcome outcome, std::int64_t wall)
{
    return {RequestId(name), outcome, {}, std::nullopt, Milliseconds(wall)};
}

DataCentreDay dayOf(const DataCentreCopy &copy, std::int64_t wall = Start)
{
    return copy.describeDay(hobart, halfHourOf(Milliseconds(Start)), Milliseconds(wall));
}

} // namespace

TEST_CASE("Each request is counted once, in the half hour of its acceptance")
{
    DataCentreCopy copy;
    copy.beginEpoch(Epoch(1));
    copy.apply(accepted("a", Start));
    copy.apply(starting("a", Start + 400));
    // A second attempt is not counted as a start, and a forgotten request stays counted.
    copy.apply(starting("a", Start + 900, 2));
    copy.apply(ended("a", Outcome::Done, Start + HalfHourLength.value()));
    copy.apply(RequestForgotten{RequestId("a")});
    copy.apply(accepted("b", Start));
    copy.apply(ended("b", Outcome::NotRun, Start + 3000));
    copy.apply(accepted("c", Start));
    const DataCentreDay day = dayOf(copy, Start + 20'000);
    const LedgerCell &cell = day.byClass.at(shorts);
    CHECK(cell.accepted == 3);
    CHECK(cell.started == 1);
    CHECK(cell.neverStarted == 1);
    CHECK(cell.ended.at(Outcome::Done) == 1);
    CHECK(cell.waits[waitBucketOf(Milliseconds(400))] == 1);
    CHECK(cell.waits[waitBucketOf(Milliseconds(3000))] == 1);
    CHECK(day.byTime.size() == 1);
    CHECK(day.open.at(shorts).notStarted == 1);
    CHECK(countWaitsLongerThan(day.open.at(shorts).waits, Milliseconds(15'000)) == 1);
    REQUIRE(day.facts.longest.size() == 1);
    CHECK(day.facts.longest.front().request == RequestId("b"));
}

TEST_CASE("A copy restored from its snapshot has the same ledger")
{
    DataCentreCopy copy;
    copy.beginEpoch(Epoch(1));
    std::minstd_rand random(7);
    for (int index = 0; index < 400; ++index) {
        const std::string name = "hobart:t:" + std::to_string(index);
        const std::int64_t wall = Start + std::int64_t{index} * 20'000;
        copy.apply(accepted(name, wall));
        if (random() % 4 != 0)
            copy.apply(starting(name, wall + static_cast<std::int64_t>(random() % 9'000)));
        if (random() % 3 != 0)
            copy.apply(ended(name, Outcome::Done, wall + 9'000));
        copy.apply(MinuteRecorded{Milliseconds(wall), {}});
        if (random() % 5 == 0)
            copy.apply(RequestForgotten{RequestId(name)});
    }
    DataCentreCopy rebuilt;
    for (const CopyPiece &piece : copy.snapshot(hobart))
        REQUIRE(rebuilt.installPiece(piece));
    CHECK(rebuilt.ledger().pages() == copy.ledger().pages());
    CHECK(rebuilt.ledger().lastMark() / 60'000 == copy.ledger().lastMark() / 60'000);
    const DataCentreDay before = dayOf(copy);
    const DataCentreDay after = dayOf(rebuilt);
    CHECK(after.byClass == before.byClass);
    CHECK(after.open == before.open);
}

TEST_CASE("A ledger drops the pages of expired days, and late records do not create them again")
{
    DataCentreCopy copy;
    copy.beginEpoch(Epoch(1));
    copy.apply(accepted("a", Start));
    const std::int64_t later = Start + 4LL * HalfHoursPerDay * HalfHourLength.value();
    copy.apply(MinuteRecorded{Milliseconds(later), {}});
    copy.apply(ended("a", Outcome::Done, later));
    CHECK(dayOf(copy).byClass.empty());
    CHECK(copy.ledger().pages().size() == 1);
}

TEST_CASE("The counts of a day survive a restart of the authority")
{
    SoloHost host;
    host.prepare();
    host.submit("x", true);
    host.run(4);
    const auto pageOf = [&] {
        DailyReportRequested asked;
        asked.exchange = ExchangeId(9'000);
        asked.caller.key = KeyHash("operator");
        asked.day = {"1970-01-01", HalfHour(0), 0};
        host.clearEffects();
        host.feed(asked);
        const auto *answer = host.answerTo<DailyReportAnswer>(ExchangeId(9'000));
        REQUIRE(answer != nullptr);
        return answer->page;
    };
    REQUIRE(pageOf().classes.size() == 1);
    host.restart();
    host.run(120);
    const DailyReport after = pageOf();
    REQUIRE(after.classes.size() == 1);
    CHECK(after.classes.front().cell.accepted == 1);
    CHECK(after.classes.front().cell.started == 1);
    // Nobody recorded the minutes before the host's first start.
    CHECK(after.verdict == Verdict::Incomplete);
}

TEST_CASE("Only operators get a daily report")
{
    SoloHost host;
    host.prepare();
    DailyReportRequested asked;
    asked.exchange = ExchangeId(9'000);
    asked.caller.key = KeyHash("k");
    host.feed(asked);
    CHECK(host.answerTo<ErrorAnswer>(ExchangeId(9'000)) != nullptr);
}

TEST_CASE("Fair shares follow the weights, and what a team does not want goes to the others")
{
    std::map<TeamId, FairShareDemand> wants;
    wants[TeamId("a")] = {1, MilliCores(0), MilliCores(100)};
    wants[TeamId("b")] = {2, MilliCores(0), MilliCores(10'000)};
    wants[TeamId("c")] = {1, MilliCores(0), MilliCores(10'000)};
    const auto shares = computeFairShares(MilliCores(3'100), wants);
    CHECK(shares.at(TeamId("a")) == MilliCores(100));
    CHECK(shares.at(TeamId("b")) == MilliCores(2'000));
    CHECK(shares.at(TeamId("c")) == MilliCores(1'000));
    CHECK(computeFairShares(MilliCores(50'000), wants).at(TeamId("b")) == MilliCores(10'000));
}
