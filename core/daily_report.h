#pragma once

#include "core/ledger.h"

#include <map>
#include <string>
#include <vector>

namespace gentiancross {

/** The report's judgement of a day. */
enum class Verdict { Good, Bad, Incomplete };

/** The day that a report covers, in the reader's time zone. */
struct ReportDay
{
    /** As written in the request: "2026-12-04". */
    std::string name;
    HalfHour first;
    /** The reader's time zone, as minutes east of UTC. */
    std::int64_t utcOffsetMinutes = 0;
};

/** The day's requests of one work class. */
struct ClassRow
{
    WorkClass work;
    LedgerCell cell;
    std::uint64_t open = 0;
    /** A longer wait counts as too long. */
    Milliseconds bound;
    /** Requests that waited longer than `bound`, including those that still wait. */
    std::uint64_t tooLong = 0;
    bool isBad = false;
};

/** One half hour, summed over all data centres. */
struct TimeRow
{
    HalfHour halfHour;
    std::map<WorkKind, std::uint64_t> accepted;
    std::uint64_t tooLong = 0;
    /** Minutes that have passed, and how many of them the ledgers of all data centres cover. */
    std::uint64_t minutesPast = 0;
    std::uint64_t minutesCovered = 0;
};

struct ShareRow
{
    TeamId team;
    ShareSamples samples;
    bool isBad = false;
};

/** The report of one data centre. */
struct DataCentreRow
{
    DataCentreId dataCentre;
    bool hasReported = false;
    std::uint64_t accepted = 0;
    UtilisationSamples fit;
};

/** The daily report: a verdict on the day, and the statistics it is based on. */
struct DailyReport
{
    ReportDay day;
    Milliseconds madeAtWall;
    bool isOver = false;
    Verdict verdict = Verdict::Incomplete;
    /** Reasons why the day can't be called good or bad. */
    std::vector<std::string> gaps;
    /** Reasons why the day was not good. */
    std::vector<std::string> faults;
    std::vector<ClassRow> classes;
    std::vector<TimeRow> times;
    std::vector<ShareRow> shares;
    std::vector<DataCentreRow> dataCentres;
    IntervalStatistics facts;
};

enum class ReportFormat { Html, Text, Json };

/** The largest distance of any time zone from UTC. */
inline constexpr std::int64_t MaxUtcOffsetMinutes = 840;

/** Formats a wall time as "HH:MM" in the reader's time zone. Reentrant. */
std::string timeOfDay(const ReportDay &day, Milliseconds wall);

/** Wait limits by work class; an empty team applies to all teams without a limit of their own. */
using WaitLimits = std::map<WorkClass, Milliseconds>;

/** The limit that applies to the work: the team's own, else the common one, else the default. */
Milliseconds waitLimitOf(const WaitLimits &limits, const WorkClass &work);

} // namespace gentiancross
