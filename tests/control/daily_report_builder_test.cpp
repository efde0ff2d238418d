#include "control/daily_report_builder.h"

#include <catch2/catch.hpp>

#include <functional>

using namespace gentiancross;

namespace {

const HalfHour firstHalfHour(980'000);
const WorkClass shorts{TeamId("t"), WorkKind::Short, false};
constexpr std::uint64_t WholeHalfHour = (std::uint64_t{1} << MinutesPerHalfHour) - 1;

Milliseconds begin()
{
    return HalfHourLength * static_cast<std::int64_t>(firstHalfHour.value());
}

/** 100 requests, all in time; one of them still open. */
DataCentreDay soundDay(const std::string &dataCentre)
{
    DataCentreDay day;
    day.dataCentre = DataCentreId(dataCentre);
    day.first = firstHalfHour;
    for (std::uint64_t index = 0; index < HalfHoursPerDay; ++index)
        day.minutes[HalfHour(firstHalfHour.value() + index)] = WholeHalfHour;
    LedgerCell cell;
    cell.accepted = 100;
    cell.started = 98;
    cell.neverStarted = 1;
    cell.ended[Outcome::Done] = 97;
    cell.ended[Outcome::NotRun] = 2;
    cell.waits[0] = 99;
    day.byClass[shorts] = cell;
    day.byTime[HalfHour(firstHalfHour.value() + 3)][WorkKind::Short] = cell;
    OpenRequests open;
    open.count = 1;
    open.notStarted = 1;
    open.waits[1] = 1;
    day.open[shorts] = open;
    day.facts.shares[TeamId("t")] = {1000, 10, 80};
    return day;
}

DailyReportInput soundEvidence()
{
    DailyReportInput evidence;
    evidence.day = {"2026-01-01", firstHalfHour, 0};
    evidence.wall = begin() + HalfHourLength * HalfHoursPerDay + Milliseconds(60'000);
    evidence.dataCentres = {DataCentreId("hobart"), DataCentreId("bruny")};
    for (const DataCentreId &dataCentre : evidence.dataCentres)
        evidence.told[dataCentre] = soundDay(dataCentre.value());
    return evidence;
}

struct Tampering
{
    const char *what;
    Verdict verdict;
    std::function<void(DailyReportInput &evidence, DataCentreDay &told)> change;
};

LedgerCell &cellOf(DataCentreDay &told)
{
    return told.byClass[shorts];
}

const std::vector<Tampering> tamperings = {
        {"a data centre does not tell", Verdict::Incomplete,
         [](DailyReportInput &evidence, DataCentreDay &) {
             evidence.told.erase(DataCentreId("bruny"));
         }},
        {"a half hour is missing", Verdict::Incomplete,
         [](DailyReportInput &, DataCentreDay &told) {
             told.minutes.erase(HalfHour(firstHalfHour.value() + 7));
         }},
        {"one minute is missing", Verdict::Incomplete,
         [](DailyReportInput &, DataCentreDay &told) {
             told.minutes[firstHalfHour] &= ~std::uint64_t{4};
         }},
        {"a clock jumped", Verdict::Incomplete,
         [](DailyReportInput &, DataCentreDay &told) {
             told.facts.clockJumps.emplace_back(-4000);
         }},
        {"another day's ledger", Verdict::Incomplete,
         [](DailyReportInput &, DataCentreDay &told) { told.first = told.first.next(); }},
        {"one accepted request less", Verdict::Incomplete,
         [](DailyReportInput &, DataCentreDay &told) { --cellOf(told).accepted; }},
        {"one accepted request more", Verdict::Incomplete,
         [](DailyReportInput &, DataCentreDay &told) { ++cellOf(told).accepted; }},
        {"an end that is counted twice", Verdict::Incomplete,
         [](DailyReportInput &, DataCentreDay &told) { ++cellOf(told).ended[Outcome::Done]; }},
        {"an end that took another's place", Verdict::Incomplete,
         [](DailyReportInput &, DataCentreDay &told) {
             --cellOf(told).ended[Outcome::Done];
             ++cellOf(told).ended[Outcome::Failed];
         }},
        {"a start too many", Verdict::Incomplete,
         [](DailyReportInput &, DataCentreDay &told) { ++cellOf(told).started; }},
        {"a wait that was moved", Verdict::Incomplete,
         [](DailyReportInput &, DataCentreDay &told) {
             --cellOf(told).waits[12];
             ++cellOf(told).waits[0];
         }},
        {"an open request that is gone", Verdict::Incomplete,
         [](DailyReportInput &, DataCentreDay &told) { told.open.clear(); }},
        {"an open request of a class that accepted none", Verdict::Incomplete,
         [](DailyReportInput &, DataCentreDay &told) {
             told.open[{TeamId("x"), WorkKind::Short, false}].count = 1;
         }},
        {"the counts by time are gone", Verdict::Incomplete,
         [](DailyReportInput &, DataCentreDay &told) { told.byTime.clear(); }},
        {"the day is not over and its last minutes are missing", Verdict::Incomplete,
         [](DailyReportInput &evidence, DataCentreDay &told) {
             evidence.wall = begin() + HalfHourLength * 5;
             told.minutes.erase(HalfHour(firstHalfHour.value() + 4));
         }},
        {"the day has not begun", Verdict::Incomplete,
         [](DailyReportInput &evidence, DataCentreDay &) { evidence.wall = begin(); }},
        {"too many waited too long", Verdict::Bad,
         [](DailyReportInput &, DataCentreDay &told) {
             for (LedgerCell *cell :
                  {&cellOf(told),
                   &told.byTime[HalfHour(firstHalfHour.value() + 3)][WorkKind::Short]}) {
                 cell->waits[0] -= 3;
                 cell->waits[6] += 3;
             }
         }},
        {"requests that never started have waited too long", Verdict::Bad,
         [](DailyReportInput &, DataCentreDay &told) {
             for (LedgerCell *cell :
                  {&cellOf(told),
                   &told.byTime[HalfHour(firstHalfHour.value() + 3)][WorkKind::Short]})
                 cell->accepted += 3;
             told.open[shorts].count += 3;
             told.open[shorts].notStarted += 3;
             told.open[shorts].waits[9] += 3;
         }},
        {"a stricter limit", Verdict::Bad,
         [](DailyReportInput &evidence, DataCentreDay &told) {
             for (LedgerCell *cell :
                  {&cellOf(told),
                   &told.byTime[HalfHour(firstHalfHour.value() + 3)][WorkKind::Short]}) {
                 cell->waits[0] -= 10;
                 cell->waits[2] += 10;
             }
             evidence.limits[{TeamId("t"), WorkKind::Short, false}] = Milliseconds(250);
         }},
        {"a team short of its part", Verdict::Bad,
         [](DailyReportInput &, DataCentreDay &told) {
             told.facts.shares[TeamId("t")].belowFairShare = 400;
         }},
};

} // namespace

TEST_CASE("A day whose evidence is whole and in time is good")
{
    const DailyReport page = buildDailyReport(soundEvidence());
    CHECK(page.verdict == Verdict::Good);
    CHECK(page.gaps.empty());
    CHECK(page.faults.empty());
    REQUIRE(page.classes.size() == 1);
    CHECK(page.classes.front().cell.accepted == 200);
    CHECK(page.isOver);
}

TEST_CASE("A day that is not over is judged by what is past")
{
    DailyReportInput evidence = soundEvidence();
    evidence.wall = begin() + HalfHourLength * 10;
    for (auto &[dataCentre, told] : evidence.told)
        told.minutes.erase(told.minutes.lower_bound(HalfHour(firstHalfHour.value() + 10)),
                           told.minutes.end());
    const DailyReport page = buildDailyReport(evidence);
    CHECK(page.verdict == Verdict::Good);
    CHECK_FALSE(page.isOver);
}

TEST_CASE("Whatever is tampered with, the day is not called good")
{
    for (const Tampering &tampering : tamperings) {
        CAPTURE(tampering.what);
        DailyReportInput evidence = soundEvidence();
        tampering.change(evidence, evidence.told.at(DataCentreId("hobart")));
        const DailyReport page = buildDailyReport(evidence);
        CHECK(page.verdict == tampering.verdict);
        CHECK(page.gaps.empty() == (tampering.verdict == Verdict::Bad));
    }
}

TEST_CASE("A team's own limit goes before that of all, and both before the built-in one")
{
    WaitLimits limits;
    CHECK(waitLimitOf(limits, shorts) == Milliseconds(2100));
    limits[{TeamId(), WorkKind::Short, false}] = Milliseconds(5000);
    CHECK(waitLimitOf(limits, shorts) == Milliseconds(5000));
    limits[shorts] = Milliseconds(100);
    CHECK(waitLimitOf(limits, shorts) == Milliseconds(100));
}
