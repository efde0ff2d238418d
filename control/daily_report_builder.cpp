#include "control/daily_report_builder.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace gentiancross {

namespace {

/** More than one request of a class in so many must have waited too long for a day to be bad. */
constexpr std::uint64_t TooLongOneIn = 100;
/** More than one look in so many must find a team short of its part for a day to be bad. */
constexpr std::uint64_t ShortOneIn = 20;
/** Fewer looks at a team that wanted more say nothing. */
constexpr std::uint64_t LeastLooks = 60;
/** The mark of a minute may take this long to come. */
constexpr Milliseconds MarkDelay{5'000};

/** The minutes of a half hour that must have been marked by \a wall, as bits. */
std::uint64_t minutesPast(HalfHour halfHour, Milliseconds wall)
{
    const Milliseconds past = wall - MarkDelay - beginOf(halfHour);
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

/** The minutes of a half hour that the data centre has marked, as bits. */
std::uint64_t minutesMarked(const DataCentreDay &told, HalfHour halfHour)
{
    const auto marked = told.minutes.find(halfHour);
    return marked == told.minutes.end() ? 0 : marked->second;
}

/** Builds one page. */
class Judge
{
public:
    explicit Judge(const DailyReportInput &evidence)
        : m_evidence(evidence)
    {
        m_page.day = evidence.day;
        m_page.madeAtWall = evidence.wall;
        m_page.isOver = evidence.wall >= endOfDay();
    }

    DailyReport judge()
    {
        for (const DataCentreId &dataCentre : m_evidence.dataCentres)
            takeIn(dataCentre);
        if (m_evidence.wall <= beginOf(m_evidence.day.first))
            m_page.gaps.emplace_back("the day has not begun");
        judgeTimes();
        judgeWaits();
        judgeShares();
        if (!m_page.gaps.empty())
            m_page.verdict = Verdict::Incomplete;
        else
            m_page.verdict = m_page.faults.empty() ? Verdict::Good : Verdict::Bad;
        return std::move(m_page);
    }

private:
    [[nodiscard]] Milliseconds endOfDay() const
    {
        return beginOf(HalfHour(m_evidence.day.first.value() + HalfHoursPerDay));
    }

    void takeIn(const DataCentreId &dataCentre)
    {
        DataCentreRow row{dataCentre, false, 0, {}};
        const auto found = m_evidence.told.find(dataCentre);
        if (found == m_evidence.told.end()) {
            m_page.gaps.push_back(dataCentre.value() + " did not tell its ledger");
        } else {
            const DataCentreDay &told = found->second;
            row.hasReported = true;
            row.fit = told.facts.fit;
            checkWhole(told);
            checkCounts(told);
            for (const auto &[work, cell] : told.byClass) {
                row.accepted += cell.accepted;
                add(m_classes[work], cell);
            }
            for (const auto &[work, open] : told.open)
                add(m_open[work], open);
            add(m_page.facts, told.facts);
        }
        m_page.dataCentres.push_back(std::move(row));
    }

    /** Every minute that is past must have had an authority with a steady clock. */
    void checkWhole(const DataCentreDay &told)
    {
        std::string missing;
        bool wasMissing = false;
        for (std::size_t index = 0; index <= HalfHoursPerDay; ++index) {
            const HalfHour halfHour(m_evidence.day.first.value() + index);
            const bool isEnd = index == HalfHoursPerDay;
            const std::string time = isEnd ? "24:00" : timeOfDay(m_evidence.day, beginOf(halfHour));
            const bool isMissing = !isEnd && lacksMinutes(told, halfHour);
            if (isMissing && !wasMissing)
                absl::StrAppend(&missing, missing.empty() ? "" : ", ", time);
            if (!isMissing && wasMissing)
                absl::StrAppend(&missing, " to ", time);
            wasMissing = isMissing;
        }
        if (!missing.empty())
            m_page.gaps.push_back(absl::StrCat(told.dataCentre.value(),
                                               ": its ledger lacks minutes in ", missing));
        for (const Milliseconds jump : told.facts.clockJumps)
            m_page.gaps.push_back(absl::StrCat(told.dataCentre.value(), ": a clock jumped by ",
                                               jump.value(), " ms"));
        if (told.first != m_evidence.day.first)
            m_page.gaps.push_back(told.dataCentre.value() + ": its ledger is of another day");
    }

    [[nodiscard]] bool lacksMinutes(const DataCentreDay &told, HalfHour halfHour) const
    {
        return (minutesPast(halfHour, m_evidence.wall) & ~minutesMarked(told, halfHour)) != 0;
    }

    /** Every accepted request must be counted exactly once in each way of counting. */
    void checkCounts(const DataCentreDay &told)
    {
        std::map<WorkKind, LedgerCell> byKind;
        std::map<WorkKind, LedgerCell> byTime;
        for (const auto &[work, cell] : told.byClass) {
            add(byKind[work.kind], cell);
            const auto found = told.open.find(work);
            const OpenRequests open = found == told.open.end() ? OpenRequests() : found->second;
            const bool isEachEndedOrOpen = cell.accepted == endedOf(cell) + open.count;
            const bool hasEachOneWait = sumOf(cell.waits) == cell.started + cell.neverStarted
                    && cell.accepted == sumOf(cell.waits) + open.notStarted
                    && sumOf(open.waits) == open.notStarted;
            if (!isEachEndedOrOpen || !hasEachOneWait)
                m_page.gaps.push_back(absl::StrCat(told.dataCentre.value(), ": the counts of team ",
                                                   work.team.value(), " do not add up"));
        }
        for (const auto &[halfHour, kinds] : told.byTime) {
            for (const auto &[kind, cell] : kinds)
                add(byTime[kind], cell);
        }
        const bool hasStrays
                = std::any_of(told.open.begin(), told.open.end(), [&](const auto &entry) {
                      return !told.byClass.contains(entry.first);
                  });
        if (byKind != byTime || hasStrays)
            m_page.gaps.push_back(told.dataCentre.value()
                                  + ": the counts by time and by team differ");
    }

    void judgeTimes()
    {
        for (std::size_t index = 0; index < HalfHoursPerDay; ++index) {
            TimeRow row;
            row.halfHour = HalfHour(m_evidence.day.first.value() + index);
            const std::uint64_t past = minutesPast(row.halfHour, m_evidence.wall);
            std::uint64_t covered = past;
            for (const DataCentreId &dataCentre : m_evidence.dataCentres) {
                const auto told = m_evidence.told.find(dataCentre);
                if (told == m_evidence.told.end()) {
                    covered = 0;
                    continue;
                }
                addTime(told->second, row);
                covered &= minutesMarked(told->second, row.halfHour);
            }
            row.minutesPast = countBits(past);
            row.minutesCovered = countBits(covered);
            m_page.times.push_back(std::move(row));
        }
    }

    void addTime(const DataCentreDay &told, TimeRow &row) const
    {
        const auto kinds = told.byTime.find(row.halfHour);
        if (kinds == told.byTime.end())
            return;
        for (const auto &[kind, cell] : kinds->second) {
            row.accepted[kind] += cell.accepted;
            row.tooLong += countWaitsLongerThan(
                    cell.waits, waitLimitOf(m_evidence.limits, {TeamId(), kind, false}));
        }
    }

    void judgeWaits()
    {
        for (const auto &[work, cell] : m_classes) {
            const OpenRequests &open = m_open[work];
            const Milliseconds limit = waitLimitOf(m_evidence.limits, work);
            const std::uint64_t tooLong = countWaitsLongerThan(cell.waits, limit)
                    + countWaitsLongerThan(open.waits, limit);
            const bool isBad = tooLong * TooLongOneIn > cell.accepted;
            m_page.classes.push_back({work, cell, open.count, limit, tooLong, isBad});
            if (isBad)
                m_page.faults.push_back(
                        absl::StrCat("team ", work.team.value(), ": ", tooLong, " of ",
                                     cell.accepted, work.urgent ? " urgent" : "",
                                     " requests waited longer than ", limit.value(), " ms"));
        }
    }

    void judgeShares()
    {
        for (const auto &[team, looks] : m_page.facts.shares) {
            const bool isBad = looks.wantingMore >= LeastLooks
                    && looks.belowFairShare * ShortOneIn > looks.wantingMore;
            m_page.shares.push_back({team, looks, isBad});
            if (isBad)
                m_page.faults.push_back(
                        absl::StrCat("team ", team.value(), " had less than its fair part in ",
                                     looks.belowFairShare, " of ", looks.wantingMore,
                                     " seconds in which it wanted more"));
        }
    }

    const DailyReportInput &m_evidence;
    DailyReport m_page;
    std::map<WorkClass, LedgerCell> m_classes;
    std::map<WorkClass, OpenRequests> m_open;
};

} // namespace

DailyReport buildDailyReport(const DailyReportInput &evidence)
{
    return Judge(evidence).judge();
}

} // namespace gentiancross
