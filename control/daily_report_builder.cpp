#include "control/daily_report_builder.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace gentiancross {

namespace {

/** A day is bad if more than one in this many requests of a class waited too long. */
constexpr std::uint64_t MaxLateRequestsOneIn = 100;
/** A day is bad if more than one in this many samples found a team below its fair share. */
constexpr std::uint64_t MaxShortSamplesOneIn = 20;
/** With fewer samples of a team that wanted more, its share is not evaluated. */
constexpr std::uint64_t MinSamples = 60;
/** The record of a minute may arrive this late. */
constexpr Milliseconds MinuteRecordDelay{5'000};

/** Bit mask of the minutes of a half hour that must have been recorded by \a wall. */
std::uint64_t minutesPast(HalfHour halfHour, Milliseconds wall)
{
    const Milliseconds past = wall - MinuteRecordDelay - beginOf(halfHour);
    const std::int64_t minutes
            = std::clamp<std::int64_t>(past.value() / MinuteLength.value(), 0, MinutesPerHalfHour);
    return (std::uint64_t{1} << minutes) - 1;
}

std::uint64_t countBits(std::uint64_t bits)
{
    std::uint64_t count = 0;
    for (; bits != 0; bits >>= 1)
        count += bits & 1;
    return count;
}

/** Bit mask of the minutes of a half hour that the data centre has recorded. */
std::uint64_t minutesMarked(const DataCentreDay &day, HalfHour halfHour)
{
    const auto marked = day.minutes.find(halfHour);
    return marked == day.minutes.end() ? 0 : marked->second;
}

/** Builds one report. */
class ReportBuilder
{
public:
    explicit ReportBuilder(const DailyReportInput &input)
        : m_input(input)
    {
        m_report.day = input.day;
        m_report.madeAtWall = input.wall;
        m_report.isOver = input.wall >= endOfDay();
    }

    DailyReport build()
    {
        for (const DataCentreId &dataCentre : m_input.dataCentres)
            addDataCentre(dataCentre);
        if (m_input.wall <= beginOf(m_input.day.first))
            m_report.gaps.emplace_back("the day has not begun");
        evaluateTimes();
        evaluateWaits();
        evaluateShares();
        if (!m_report.gaps.empty())
            m_report.verdict = Verdict::Incomplete;
        else
            m_report.verdict = m_report.faults.empty() ? Verdict::Good : Verdict::Bad;
        return std::move(m_report);
    }

private:
    [[nodiscard]] Milliseconds endOfDay() const
    {
        return beginOf(HalfHour(m_input.day.first.value() + HalfHoursPerDay));
    }

    void addDataCentre(const DataCentreId &dataCentre)
    {
        DataCentreRow row{dataCentre, false, 0, {}};
        const auto found = m_input.days.find(dataCentre);
        if (found == m_input.days.end()) {
            m_report.gaps.push_back(dataCentre.value() + " did not tell its ledger");
        } else {
            const DataCentreDay &day = found->second;
            row.hasReported = true;
            row.fit = day.facts.fit;
            checkCompleteness(day);
            checkCounts(day);
            for (const auto &[work, cell] : day.byClass) {
                row.accepted += cell.accepted;
                add(m_classes[work], cell);
            }
            for (const auto &[work, open] : day.open)
                add(m_open[work], open);
            add(m_report.facts, day.facts);
        }
        m_report.dataCentres.push_back(std::move(row));
    }

    /** Checks that every past minute had an authority whose clock did not jump. */
    void checkCompleteness(const DataCentreDay &day)
    {
        std::string missing;
        bool wasMissing = false;
        for (std::size_t index = 0; index <= HalfHoursPerDay; ++index) {
            const HalfHour halfHour(m_input.day.first.value() + index);
            const bool isEnd = index == HalfHoursPerDay;
            const std::string time = isEnd ? "24:00" : timeOfDay(m_input.day, beginOf(halfHour));
            const bool isMissing = !isEnd && lacksMinutes(day, halfHour);
            if (isMissing && !wasMissing)
                absl::StrAppend(&missing, missing.empty() ? "" : ", ", time);
            if (!isMissing && wasMissing)
                absl::StrAppend(&missing, " to ", time);
            wasMissing = isMissing;
        }
        if (!missing.empty())
            m_report.gaps.push_back(absl::StrCat(day.dataCentre.value(),
                                                 ": its ledger lacks minutes in ", missing));
        for (const Milliseconds jump : day.facts.clockJumps)
            m_report.gaps.push_back(absl::StrCat(day.dataCentre.value(), ": a clock jumped by ",
                                                 jump.value(), " ms"));
        if (day.first != m_input.day.first)
            m_report.gaps.push_back(day.dataCentre.value() + ": its ledger is of another day");
    }

    [[nodiscard]] bool lacksMinutes(const DataCentreDay &day, HalfHour halfHour) const
    {
        return (minutesPast(halfHour, m_input.wall) & ~minutesMarked(day, halfHour)) != 0;
    }

    /** Checks that each accepted request is counted exactly once, both by class and by time. */
    void checkCounts(const DataCentreDay &day)
    {
        std::map<WorkKind, LedgerCell> byKind;
        std::map<WorkKind, LedgerCell> byTime;
        for (const auto &[work, cell] : day.byClass) {
            add(byKind[work.kind], cell);
            const auto found = day.open.find(work);
            const OpenRequests open = found == day.open.end() ? OpenRequests() : found->second;
            const bool isEachEndedOrOpen = cell.accepted == endedOf(cell) + open.count;
            const bool hasEachOneWait = sumOf(cell.waits) == cell.started + cell.neverStarted
                    && cell.accepted == sumOf(cell.waits) + open.notStarted
                    && sumOf(open.waits) == open.notStarted;
            if (!isEachEndedOrOpen || !hasEachOneWait)
                m_report.gaps.push_back(absl::StrCat(day.dataCentre.value(),
                                                     ": the counts of team ", work.team.value(),
                                                     " do not add up"));
        }
        for (const auto &[halfHour, kinds] : day.byTime) {
            for (const auto &[kind, cell] : kinds)
                add(byTime[kind], cell);
        }
        const bool hasStrays
                = std::any_of(day.open.begin(), day.open.end(), [&](const auto &entry) {
                      return !day.byClass.contains(entry.first);
                  });
        if (byKind != byTime || hasStrays)
            m_report.gaps.push_back(day.dataCentre.value()
                                    + ": the counts by time and by team differ");
    }

    void evaluateTimes()
    {
        for (std::size_t index = 0; index < HalfHoursPerDay; ++index) {
            TimeRow row;
            row.halfHour = HalfHour(m_input.day.first.value() + index);
            const std::uint64_t past = minutesPast(row.halfHour, m_input.wall);
            std::uint64_t covered = past;
            for (const DataCentreId &dataCentre : m_input.dataCentres) {
                const auto day = m_input.days.find(dataCentre);
                if (day == m_input.days.end()) {
                    covered = 0;
                    continue;
                }
                addTime(day->second, row);
                covered &= minutesMarked(day->second, row.halfHour);
            }
            row.minutesPast = countBits(past);
            row.minutesCovered = countBits(covered);
            m_report.times.push_back(std::move(row));
        }
    }

    void addTime(const DataCentreDay &day, TimeRow &row) const
    {
        const auto kinds = day.byTime.find(row.halfHour);
        if (kinds == day.byTime.end())
            return;
        for (const auto &[kind, cell] : kinds->second) {
            row.accepted[kind] += cell.accepted;
            row.tooLong += countWaitsLongerThan(
                    cell.waits, waitLimitOf(m_input.limits, {TeamId(), kind, false}));
        }
    }

    void evaluateWaits()
    {
        for (const auto &[work, cell] : m_classes) {
            const OpenRequests &open = m_open[work];
            const Milliseconds limit = waitLimitOf(m_input.limits, work);
            const std::uint64_t tooLong = countWaitsLongerThan(cell.waits, limit)
                    + countWaitsLongerThan(open.waits, limit);
            const bool isBad = tooLong * MaxLateRequestsOneIn > cell.accepted;
            m_report.classes.push_back({work, cell, open.count, limit, tooLong, isBad});
            if (isBad)
                m_report.faults.push_back(
                        absl::StrCat("team ", work.team.value(), ": ", tooLong, " of ",
                                     cell.accepted, work.urgent ? " urgent" : "",
                                     " requests waited longer than ", limit.value(), " ms"));
        }
    }

    void evaluateShares()
    {
        for (const auto &[team, samples] : m_report.facts.shares) {
            const bool isBad = samples.wantingMore >= MinSamples
                    && samples.belowFairShare * MaxShortSamplesOneIn > samples.wantingMore;
            m_report.shares.push_back({team, samples, isBad});
            if (isBad)
                m_report.faults.push_back(
                        absl::StrCat("team ", team.value(), " had less than its fair part in ",
                                     samples.belowFairShare, " of ", samples.wantingMore,
                                     " seconds in which it wanted more"));
        }
    }

    const DailyReportInput &m_input;
    DailyReport m_report;
    std::map<WorkClass, LedgerCell> m_classes;
    std::map<WorkClass, OpenRequests> m_open;
};

} // namespace

DailyReport buildDailyReport(const DailyReportInput &input)
{
    return ReportBuilder(input).build();
}

} // namespace gentiancross
