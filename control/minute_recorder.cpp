#include "control/minute_recorder.h"

#include <algorithm>
#include <utility>

namespace gentiancross {

namespace {

constexpr Milliseconds LookInterval{1'000};
/** Clocks are set right by less than this between two looks. */
constexpr Milliseconds LargestAdjustment{1'000};
/** Two hosts' clocks differ by less than this. */
constexpr Milliseconds LargestDifference{2'000};
/** Less than this many thousandths of all processors below its part, a team is not short. */
constexpr std::int64_t ShortThousandths = 50;
constexpr std::int64_t Thousand = 1'000;

Milliseconds minuteOf(Milliseconds wall)
{
    return wall / MinuteLength.value();
}

} // namespace

MinuteRecorder::MinuteRecorder(RecordWriter &records)
    : m_records(records)
{}

void MinuteRecorder::look(Instant now, Milliseconds wall, const DataCentreSample &look, Outbox &out)
{
    m_nextSample = now + LookInterval;
    compare(look);
    const Milliseconds jump = clockJump(now, wall);
    m_last = Reading{now, wall};
    if (jump == Milliseconds(0) && minuteOf(wall) == minuteOf(m_markedAt))
        return;
    m_mark.wall = wall;
    if (jump != Milliseconds(0))
        m_mark.seen.clockJumps.push_back(jump);
    m_mark.seen.refused = look.refused - m_refusedRecorded;
    m_refusedRecorded = look.refused;
    m_markedAt = wall;
    m_records.append(std::exchange(m_mark, MinuteRecorded()), out);
}

Milliseconds MinuteRecorder::clockJump(Instant now, Milliseconds wall) const
{
    if (m_last.has_value()) {
        const Milliseconds difference = (wall - m_last->wall) - (now - m_last->now);
        const bool isJump = difference > LargestAdjustment
                || difference < Milliseconds(0) - LargestAdjustment;
        return isJump ? difference : Milliseconds(0);
    }
    // A new authority can tell only that its clock is behind that of the one before.
    const Milliseconds difference = wall - m_records.lastMark();
    return difference < Milliseconds(0) - LargestDifference ? difference : Milliseconds(0);
}

void MinuteRecorder::compare(const DataCentreSample &look)
{
    MilliCores used;
    bool isWaiting = false;
    for (const auto &[team, want] : look.teams) {
        used += want.used;
        isWaiting = isWaiting || want.wanted > want.used;
    }
    ++m_mark.seen.fit.all;
    if (!isWaiting || look.usable <= MilliCores(0))
        return;
    add(m_mark.seen.fit, {0, 1, used.value(), look.usable.value()});
    const std::map<TeamId, MilliCores> parts = computeFairShares(look.usable, look.teams);
    for (const auto &[team, want] : look.teams) {
        if (want.wanted <= want.used)
            continue;
        const std::int64_t lack = std::max<std::int64_t>(
                (parts.at(team) - want.used).value() * Thousand / look.usable.value(), 0);
        add(m_mark.seen.shares[team], {1, lack > ShortThousandths ? 1ULL : 0ULL, lack});
    }
}

} // namespace gentiancross
