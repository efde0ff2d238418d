#pragma once

#include "core/work.h"

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <tuple>
#include <vector>

namespace gentiancross {

/** Half hours since 1970-01-01 00:00 UTC; in every time zone a day begins with one of them. */
using HalfHour = NumberId<struct HalfHourTag>;

inline constexpr Milliseconds MinuteLength{60'000};
inline constexpr std::uint64_t MinutesPerHalfHour = 30;
inline constexpr Milliseconds HalfHourLength{1'800'000};
inline constexpr std::size_t HalfHoursPerDay = 48;

/** The half hour that contains a point of wall time. */
constexpr HalfHour halfHourOf(Milliseconds wall)
{
    return HalfHour(static_cast<std::uint64_t>((wall / HalfHourLength.value()).value()));
}

/**
 * Upper bounds of the histogram buckets of waits. For each of them the number of longer waits is
 * exact at any time.
 */
inline constexpr std::array<Milliseconds, 12> WaitBounds
        = {Milliseconds(100),       Milliseconds(250),       Milliseconds(500),
           Milliseconds(1'000),     Milliseconds(2'100),     Milliseconds(5'000),
           Milliseconds(15'000),    Milliseconds(60'000),    Milliseconds(300'000),
           Milliseconds(1'800'000), Milliseconds(3'600'000), Milliseconds(14'400'000)};

/** A histogram of waits: one bucket for each of WaitBounds, and a last one for longer waits. */
using WaitHistogram = std::array<std::uint64_t, WaitBounds.size() + 1>;

/** The class of work by which the ledger groups its counts. */
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

/** Counts of the requests of one class that were accepted in an interval, and their outcomes. */
struct LedgerCell
{
    std::uint64_t accepted = 0;
    /** Requests with at least one started task; each counted once. */
    std::uint64_t started = 0;
    /** Requests that ended without any started task. */
    std::uint64_t neverStarted = 0;
    std::map<Outcome, std::uint64_t> ended;
    /** From acceptance to the first start, or to an end without one; each request counted once. */
    WaitHistogram waits{};

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.accepted, self.started, self.neverStarted, self.ended, self.waits);
    }

    bool operator==(const LedgerCell &) const = default;
};

/** What a request waited for, as determined when the scheduler last skipped it. */
enum class WaitCause { Nothing, OwnTeam, TeamLimit, FreeCapacity, AuthorityMoved, NeverStarted };

/** One of the longest waits of an interval. */
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

/** Samples, one a second, of a team's share while it wanted more than it had. */
struct ShareSamples
{
    std::uint64_t wantingMore = 0;
    /** Samples in which it had clearly less than its fair share. */
    std::uint64_t belowFairShare = 0;
    /** The largest shortfall from the fair share, in thousandths of all processors. */
    std::int64_t worstShortfallPermille = 0;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.wantingMore, self.belowFairShare, self.worstShortfallPermille);
    }

    bool operator==(const ShareSamples &) const = default;
};

/** Samples, one a second, of the utilisation of a data centre. */
struct UtilisationSamples
{
    std::uint64_t all = 0;
    /** Samples in which work waited for free capacity. */
    std::uint64_t waiting = 0;
    /** Sums over the samples in which work waited, in millicores. */
    std::int64_t used = 0;
    std::int64_t usable = 0;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.all, self.waiting, self.used, self.usable);
    }

    bool operator==(const UtilisationSamples &) const = default;
};

/** Statistics of an interval in a data centre besides the request counts; they can be summed. */
struct IntervalStatistics
{
    std::vector<LongWait> longest;
    std::map<TeamId, ShareSamples> shares;
    UtilisationSamples fit;
    std::uint64_t refused = 0;
    /** The size of each jump of the authority's wall clock. */
    std::vector<Milliseconds> clockJumps;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.longest, self.shares, self.fit, self.refused, self.clockJumps);
    }

    bool operator==(const IntervalStatistics &) const = default;
};

/** A data centre's ledger for one half hour. */
struct LedgerPage
{
    /** A bit mask of the minutes during which an authority maintained the ledger. */
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

/** Requests that have not ended, recounted from their records. */
struct OpenRequests
{
    std::uint64_t count = 0;
    std::uint64_t notStarted = 0;
    /** How long the requests that have not started have waited so far. */
    WaitHistogram waits{};

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.count, self.notStarted, self.waits);
    }

    bool operator==(const OpenRequests &) const = default;
};

/** The content of a data centre's ledger for one day. */
struct DataCentreDay
{
    DataCentreId dataCentre;
    HalfHour first;
    /** The day's totals by class. */
    std::map<WorkClass, LedgerCell> byClass;
    /** The totals of each half hour, by kind; they must add up to the same as byClass. */
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

/** The index of the histogram bucket that a wait belongs to. Reentrant. */
std::size_t waitBucketOf(Milliseconds waited);
/** Counts the waits longer than \a bound. Precondition: it is one of WaitBounds. */
std::uint64_t countWaitsLongerThan(const WaitHistogram &waits, Milliseconds bound);
std::uint64_t sumOf(const WaitHistogram &waits);
std::uint64_t endedOf(const LedgerCell &cell);
/** The number of requests that ended with this outcome. */
std::uint64_t endedWith(const LedgerCell &cell, Outcome outcome);
/** The wall time at which the half hour begins. */
Milliseconds beginOf(HalfHour halfHour);

/** Each adds the second argument to the first. */
void add(WaitHistogram &sum, const WaitHistogram &more);
void add(LedgerCell &sum, const LedgerCell &more);
void add(ShareSamples &sum, const ShareSamples &more);
void add(UtilisationSamples &sum, const UtilisationSamples &more);
void add(OpenRequests &sum, const OpenRequests &more);
void add(IntervalStatistics &sum, const IntervalStatistics &more);
/** Inserts a wait into the list of the longest, which is kept sorted and bounded in length. */
void addLongWait(std::vector<LongWait> &longest, const LongWait &wait);

} // namespace gentiancross
