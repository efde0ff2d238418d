#include "core/ledger.h"

#include <algorithm>

namespace gentiancross {

namespace {

constexpr std::size_t MaxLongWaits = 10;

} // namespace

std::size_t waitBucketOf(Milliseconds waited)
{
    const auto slot = std::lower_bound(WaitBounds.begin(), WaitBounds.end(), waited);
    return static_cast<std::size_t>(slot - WaitBounds.begin());
}

std::uint64_t countWaitsLongerThan(const WaitHistogram &waits, Milliseconds bound)
{
    std::uint64_t count = 0;
    for (std::size_t slot = waitBucketOf(bound) + 1; slot < waits.size(); ++slot)
        count += waits[slot];
    return count;
}

std::uint64_t sumOf(const WaitHistogram &waits)
{
    std::uint64_t sum = 0;
    for (const std::uint64_t count : waits)
        sum += count;
    return sum;
}

std::uint64_t endedOf(const LedgerCell &cell)
{
    std::uint64_t sum = 0;
    for (const auto &[outcome, count] : cell.ended)
        sum += count;
    return sum;
}

std::uint64_t endedWith(const LedgerCell &cell, Outcome outcome)
{
    const auto found = cell.ended.find(outcome);
    return found == cell.ended.end() ? 0 : found->second;
}

Milliseconds beginOf(HalfHour halfHour)
{
    return HalfHourLength * static_cast<std::int64_t>(halfHour.value());
}

void add(WaitHistogram &sum, const WaitHistogram &more)
{
    for (std::size_t slot = 0; slot < sum.size(); ++slot)
        sum[slot] += more[slot];
}

void add(LedgerCell &sum, const LedgerCell &more)
{
    sum.accepted += more.accepted;
    sum.started += more.started;
    sum.neverStarted += more.neverStarted;
    for (const auto &[outcome, count] : more.ended)
        sum.ended[outcome] += count;
    add(sum.waits, more.waits);
}

void add(ShareSamples &sum, const ShareSamples &more)
{
    sum.wantingMore += more.wantingMore;
    sum.belowFairShare += more.belowFairShare;
    sum.worstShortfallPermille = std::max(sum.worstShortfallPermille, more.worstShortfallPermille);
}

void add(UtilisationSamples &sum, const UtilisationSamples &more)
{
    sum.all += more.all;
    sum.waiting += more.waiting;
    sum.used += more.used;
    sum.usable += more.usable;
}

void add(OpenRequests &sum, const OpenRequests &more)
{
    sum.count += more.count;
    sum.notStarted += more.notStarted;
    add(sum.waits, more.waits);
}

void add(IntervalStatistics &sum, const IntervalStatistics &more)
{
    for (const LongWait &wait : more.longest)
        addLongWait(sum.longest, wait);
    for (const auto &[team, looks] : more.shares)
        add(sum.shares[team], looks);
    add(sum.fit, more.fit);
    sum.refused += more.refused;
    sum.clockJumps.insert(sum.clockJumps.end(), more.clockJumps.begin(), more.clockJumps.end());
}

void addLongWait(std::vector<LongWait> &longest, const LongWait &wait)
{
    const auto place = std::upper_bound(
            longest.begin(), longest.end(), wait,
            [](const LongWait &a, const LongWait &b) { return a.waited > b.waited; });
    longest.insert(place, wait);
    if (longest.size() > MaxLongWaits)
        longest.pop_back();
}

} // namespace gentiancross
