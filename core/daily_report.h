#pragma once

#include "core/ledger.h"

#include <map>
#include <string>
#include <vector>

namespace gentiancross {

/** What the page says of a day. */
enum class Verdict { Good, Bad, Incomplete };

/** Which day a page is about, and when it was asked for. */
struct ReportDay
{
    /** As the asker named it: "2026-12-04". */
    std::string name;
    HalfHour first;
    /** The asker's time zone, as minutes east of UTC. */
    std::int64_t utcOffsetMinutes = 0;
};

/** Work of one class on the day. */
struct ClassRow
{
    WorkClass work;
    LedgerCell cell;
    std::uint64_t open = 0;
    /** What counts as too long. */
    Milliseconds bound;
    /** Requests that waited longer, those that still wait among them. */
    std::uint64_t tooLong = 0;
    bool isBad = false;
};

/** One half hour, over all data centres. */
struct TimeRow
{
    HalfHour halfHour;
    std::map<WorkKind, std::uint64_t> accepted;
    std::uint64_t tooLong = 0;
    /** Minutes that lie in the past, and those of them that every data centre's ledger covers. */
    std::uint64_t minutesPast = 0;
    std::uint64_t minutesCovered = 0;
};

struct ShareRow
{
    TeamId team;
    ShareSamples looks;
    bool isBad = false;
};

/** What one data centre told. */
struct DataCentreRow
{
    DataCentreId dataCentre;
    bool hasReported = false;
    std::uint64_t accepted = 0;
    UtilisationSamples fit;
};

/** The evening page: a verdict, and the facts that it rests on. */
struct DailyReport
{
    ReportDay day;
    Milliseconds madeAtWall;
    bool isOver = false;
    Verdict verdict = Verdict::Incomplete;
    /** Why the day can't be called good or bad. */
    std::vector<std::string> gaps;
    /** Why the day was not good. */
    std::vector<std::string> faults;
    std::vector<ClassRow> classes;
    std::vector<TimeRow> times;
    std::vector<ShareRow> shares;
    std::vector<DataCentreRow> dataCentres;
    IntervalStatistics facts;
};

enum class ReportFormat { Html, Text, Json };

/** No time zone is further from UTC, in minutes. */
inline constexpr std::int64_t MaxUtcOffsetMinutes = 840;

/** "HH:MM" in the asker's time zone. Reentrant. */
std::string timeOfDay(const ReportDay &day, Milliseconds wall);

/** How long a wait may be, by team and kind; an empty team stands for all that have no own. */
using WaitLimits = std::map<WorkClass, Milliseconds>;

/** The bound that holds for the work: the team's own, else that of all, else the built-in one. */
Milliseconds waitLimitOf(const WaitLimits &limits, const WorkClass &work);

} // namespace gentiancross
