#pragma once

#include "core/work.h"

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <tuple>
#include <vector>

namespace gentiancross {

/** Half hours since 1970-01-01 00:00 UTC; days of every time zone begin with one of them. */
using HalfHour = NumberId<struct HalfHourTag>;

inline constexpr Milliseconds MinuteLength{60'000};
inline constexpr std::uint64_t MinutesPerHalfHour = 30;
inline constexpr Milliseconds HalfHourLength{1'800'000};
inline constexpr std::size_t HalfHoursPerDay = 48;

/** The half hour that holds a point of wall time. */
constexpr HalfHour halfHourOf(Milliseconds wall)
{
    return HalfHour(static_cast<std::uint64_t>((wall / HalfHourLength.value()).value()));
}

/**
 * Waits are counted by these bounds, so that "waited longer than a bound" is an exact count for
 * each of them, whenever it is asked.
 */
inline constexpr std::array<Milliseconds, 12> WaitBounds
        = {Milliseconds(100),       Milliseconds(250),       Milliseconds(500),
           Milliseconds(1'000),     Milliseconds(2'100),     Milliseconds(5'000),
           Milliseconds(15'000),    Milliseconds(60'000),    Milliseconds(300'000),
           Milliseconds(1'800'000), Milliseconds(3'600'000), Milliseconds(14'400'000)};

/** How many waits fell up to each bound, and, last, beyond all. */
using WaitHistogram = std::array<std::uint64_t, WaitBounds.size() + 1>;

/** What the ledger counts work by. */
struct WorkClass
{
    TeamId team;
    WorkKind kind = WorkKind::Short;
    bool urgent = false;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.team, self.kind, self.urgent);
    }

    auto operator<=>(const WorkClass &) const = default;
};

/** The requests of one class that were accepted in some span, and what has become of them. */
struct LedgerCell
{
    std::uint64_t accepted = 0;
    /** Requests of which a task was started; each once. */
    std::uint64_t started = 0;
    /** Requests that ended without any start. */
    std::uint64_t neverStarted = 0;
    std::map<Outcome, std::uint64_t> ended;
    /** From acceptance to the first start, or to an end without any; each request once. */
    WaitHistogram waits{};

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.accepted, self.started, self.neverStarted, self.ended, self.waits);
    }

    bool operator==(const LedgerCell &) const = default;
};

/** What a request waited for, as far as the scheduler could see when it last passed it over. */
enum class WaitCause { Nothing, OwnTeam, TeamLimit, Room, AuthorityMoved, NeverStarted };

/** One of the longest waits. */
struct LongWait
{
    RequestId request;
    WorkClass work;
    Milliseconds acceptedAtWall;
    Milliseconds waited;
    WaitCause cause = WaitCause::Nothing;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.request, self.work, self.acceptedAtWall, self.waited, self.cause);
    }

    bool operator==(const LongWait &) const = default;
};

/** Looks, one a second, at what a team had while it wanted more than it had. */
struct ShareSamples
{
    std::uint64_t wanting = 0;
    /** Looks at which it had clearly less than its fair part. */
    std::uint64_t belowFairShare = 0;
    /** The most that it lacked, in thousandths of all processors. */
    std::int64_t worstShortfallPermille = 0;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.wantingMore, self.belowFairShare, self.worstShortfallPermille);
    }

    bool operator==(const ShareSamples &) const = default;
};

/** Looks, one a second, at how full the data centre was. */
struct UtilisationSamples
{
    std::uint64_t all = 0;
    /** Looks at which work waited for room. */
    std::uint64_t waiting = 0;
    /** Over the looks at which work waited, in millicores. */
    std::int64_t used = 0;
    std::int64_t usable = 0;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.all, self.waiting, self.used, self.usable);
    }

    bool operator==(const UtilisationSamples &) const = default;
};

/** What a span of time in a data centre shows besides counts; spans are added to each other. */
struct IntervalStatistics
{
    std::vector<LongWait> longest;
    std::map<TeamId, ShareSamples> shares;
    UtilisationSamples fit;
    std::uint64_t refused = 0;
    /** By how much the authority's wall clock jumped, each time. */
    std::vector<Milliseconds> clockJumps;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.longest, self.shares, self.fit, self.refused, self.clockJumps);
    }

    bool operator==(const IntervalStatistics &) const = default;
};

/** A data centre's ledger of one half hour. */
struct LedgerPage
{
    /** A bit for each minute in which an authority kept the ledger. */
    std::uint64_t minutes = 0;
    std::map<WorkClass, LedgerCell> cells;
    IntervalStatistics facts;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.minutes, self.cells, self.facts);
    }

    bool operator==(const LedgerPage &) const = default;
};

/** Requests that have not ended, counted anew from their records. */
struct OpenRequests
{
    std::uint64_t count = 0;
    std::uint64_t notStarted = 0;
    /** How long those that have not started have waited until now. */
    WaitHistogram waits{};

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.count, self.notStarted, self.waits);
    }

    bool operator==(const OpenRequests &) const = default;
};

/** All that a data centre's ledger tells of one day. */
struct DataCentreDay
{
    DataCentreId dataCentre;
    HalfHour first;
    /** The day's totals by class. */
    std::map<WorkClass, LedgerCell> byClass;
    /** The totals of each half hour, by kind; with byClass they must add up to the same. */
    std::map<HalfHour, std::map<WorkKind, LedgerCell>> byTime;
    std::map<HalfHour, std::uint64_t> minutes;
    std::map<WorkClass, OpenRequests> open;
    IntervalStatistics facts;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.dataCentre, self.first, self.byClass, self.byTime, self.minutes,
                        self.open, self.facts);
    }
};

/** Where a wait belongs in WaitHistogram. Reentrant. */
std::size_t waitBucketOf(Milliseconds waited);
/** How many waits were longer than \a bound. Precondition: it is one of WaitBounds. */
std::uint64_t countWaitsLongerThan(const WaitHistogram &waits, Milliseconds bound);
std::uint64_t sumOf(const WaitHistogram &waits);
std::uint64_t endedOf(const LedgerCell &cell);
/** How many ended with this outcome. */
std::uint64_t endedWith(const LedgerCell &cell, Outcome outcome);
/** When the half hour begins, on the wall clock. */
Milliseconds beginOf(HalfHour halfHour);

/** Each adds the second to the first. */
void add(WaitHistogram &sum, const WaitHistogram &more);
void add(LedgerCell &sum, const LedgerCell &more);
void add(ShareSamples &sum, const ShareSamples &more);
void add(UtilisationSamples &sum, const UtilisationSamples &more);
void add(OpenRequests &sum, const OpenRequests &more);
void add(IntervalStatistics &sum, const IntervalStatistics &more);
/** Adds a wait to a list of the longest, which stays short and in order. */
void addLongWait(std::vector<LongWait> &longest, const LongWait &wait);

} // namespace gentiancross
