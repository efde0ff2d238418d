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

/** 100 requests, all started in time or still within it; one is still open. */
DataCentreDay completeDay(const std::string &dataCentre)
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

DailyReportInput completeInput()
{
    DailyReportInput input;
    input.day = {"2026-01-01", firstHalfHour, 0};
    input.wall = begin() + HalfHourLength * HalfHoursPerDay + Milliseconds(60'000);
    input.dataCentres = {DataCentreId("hobart"), DataCentreId("bruny")};
    for (const DataCentreId &dataCentre : input.dataCentres)
        input.days[dataCentre] = completeDay(dataCentre.value());
    return input;
}

struct Change
{
    const char *what;
    Verdict verdict;
    std::function<void(DailyReportInput &input, DataCentreDay &day)> apply;
};

LedgerCell &cellOf(DataCentreDay &day)
{
    return day.byClass[shorts];
}

const std::vector<Change> changes = {
        {"a data centre does not answer", Verdict::Incomplete,
         [](DailyReportInput &input, DataCentreDay &) { input.days.erase(DataCentreId("bruny")); }},
        {"a half hour is missing", Verdict::Incomplete,
         [](DailyReportInput &, DataCentreDay &day) {
             day.minutes.erase(HalfHour(firstHalfHour.value() + 7));
         }},
        {"one minute is missing", Verdict::Incomplete,
         [](DailyReportInput &, DataCentreDay &day) {
             day.minutes[firstHalfHour] &= ~std::uint64_t{4};
         }},
        {"a clock jumped", Verdict::Incomplete,
         [](DailyReportInput &, DataCentreDay &day) { day.facts.clockJumps.emplace_back(-4000); }},
        {"another day's ledger", Verdict::Incomplete,
         [](DailyReportInput &, DataCentreDay &day) { day.first = day.first.next(); }},
        {"one accepted request too few", Verdict::Incomplete,
         [](DailyReportInput &, DataCentreDay &day) { --cellOf(day).accepted; }},
        {"one accepted request too many", Verdict::Incomplete,
         [](DailyReportInput &, DataCentreDay &day) { ++cellOf(day).accepted; }},
        {"an end counted twice", Verdict::Incomplete,
         [](DailyReportInput &, DataCentreDay &day) { ++cellOf(day).ended[Outcome::Done]; }},
        {"an end counted under another outcome", Verdict::Incomplete,
         [](DailyReportInput &, DataCentreDay &day) {
             --cellOf(day).ended[Outcome::Done];
             ++cellOf(day).ended[Outcome::Failed];
         }},
        {"one start too many", Verdict::Incomplete,
         [](DailyReportInput &, DataCentreDay &day) { ++cellOf(day).started; }},
        {"a wait counted in another bucket", Verdict::Incomplete,
         [](DailyReportInput &, DataCentreDay &day) {
             --cellOf(day).waits[12];
             ++cellOf(day).waits[0];
         }},
        {"a missing open request", Verdict::Incomplete,
         [](DailyReportInput &, DataCentreDay &day) { day.open.clear(); }},
        {"an open request of a class that accepted none", Verdict::Incomplete,
         [](DailyReportInput &, DataCentreDay &day) {
             day.open[{TeamId("x"), WorkKind::Short, false}].count = 1;
         }},
        {"the counts by time are missing", Verdict::Incomplete,
         [](DailyReportInput &, DataCentreDay &day) { day.byTime.clear(); }},
        {"the day is not over and its last minutes are missing", Verdict::Incomplete,
         [](DailyReportInput &input, DataCentreDay &day) {
             input.wall = begin() + HalfHourLength * 5;
             day.minutes.erase(HalfHour(firstHalfHour.value() + 4));
         }},
        {"the day has not begun", Verdict::Incomplete,
         [](DailyReportInput &input, DataCentreDay &) { input.wall = begin(); }},
        {"too many waited too long", Verdict::Bad,
         [](DailyReportInput &, DataCentreDay &day) {
             for (LedgerCell *cell :
                  {&cellOf(day),
                   &day.byTime[HalfHour(firstHalfHour.value() + 3)][WorkKind::Short]}) {
                 cell->waits[0] -= 3;
                 cell->waits[6] += 3;
             }
         }},
        {"requests that never started have waited too long", Verdict::Bad,
         [](DailyReportInput &, DataCentreDay &day) {
             for (LedgerCell *cell :
                  {&cellOf(day), &day.byTime[HalfHour(firstHalfHour.value() + 3)][WorkKind::Short]})
                 cell->accepted += 3;
             day.open[shorts].count += 3;
             day.open[shorts].notStarted += 3;
             day.open[shorts].waits[9] += 3;
         }},
        {"a stricter limit", Verdict::Bad,
         [](DailyReportInput &input, DataCentreDay &day) {
             for (LedgerCell *cell :
                  {&cellOf(day),
                   &day.byTime[HalfHour(firstHalfHour.value() + 3)][WorkKind::Short]}) {
                 cell->waits[0] -= 10;
                 cell->waits[2] += 10;
             }
             input.limits[{TeamId("t"), WorkKind::Short, false}] = Milliseconds(250);
         }},
        {"a team below its fair share", Verdict::Bad,
         [](DailyReportInput &, DataCentreDay &day) {
             day.facts.shares[TeamId("t")].belowFairShare = 400;
         }},
};

} // namespace

TEST_CASE("A day is good if its data is complete and all waits are within the limits")
{
    const DailyReport report = buildDailyReport(completeInput());
    CHECK(report.verdict == Verdict::Good);
    CHECK(report.gaps.empty());
    CHECK(report.faults.empty());
    REQUIRE(report.classes.size() == 1);
    CHECK(report.classes.front().cell.accepted == 200);
    CHECK(report.isOver);
}

TEST_CASE("A day that is not over is evaluated up to the current time")
{
    DailyReportInput input = completeInput();
    input.wall = begin() + HalfHourLength * 10;
    for (auto &[dataCentre, day] : input.days)
        day.minutes.erase(day.minutes.lower_bound(HalfHour(firstHalfHour.value() + 10)),
                          day.minutes.end());
    const DailyReport report = buildDailyReport(input);
    CHECK(report.verdict == Verdict::Good);
    CHECK_FALSE(report.isOver);
}

TEST_CASE("A day whose data is altered in any way is not reported as good")
{
    for (const Change &change : changes) {
        CAPTURE(change.what);
        DailyReportInput input = completeInput();
        change.apply(input, input.days.at(DataCentreId("hobart")));
        const DailyReport report = buildDailyReport(input);
        CHECK(report.verdict == change.verdict);
        CHECK(report.gaps.empty() == (change.verdict == Verdict::Bad));
    }
}

TEST_CASE("A team's own wait limit overrides the one for all teams, and both the built-in one")
{
    WaitLimits limits;
    CHECK(waitLimitOf(limits, shorts) == Milliseconds(2100));
    limits[{TeamId(), WorkKind::Short, false}] = Milliseconds(5000);
    CHECK(waitLimitOf(limits, shorts) == Milliseconds(5000));
    limits[shorts] = Milliseconds(100);
    CHECK(waitLimitOf(limits, shorts) == Milliseconds(100));
}
