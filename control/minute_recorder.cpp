#include "control/minute_recorder.h"

#include <algorithm>
#include <utility>

namespace gentiancross {

namespace {

constexpr Milliseconds SampleInterval{1'000};
/** Time synchronisation adjusts a clock by less than this between two samples. */
constexpr Milliseconds MaxClockAdjustment{1'000};
/** The clocks of two hosts differ by less than this. */
constexpr Milliseconds MaxClockDifference{2'000};
/** A team is short if it is further below its fair share than this part of all usable cores. */
constexpr std::int64_t ShortfallThresholdPermille = 50;
constexpr std::int64_t PermilleScale = 1'000;

Milliseconds minuteOf(Milliseconds wall)
{
    return wall / MinuteLength.value();
}

} // namespace

MinuteRecorder::MinuteRecorder(RecordWriter &records)
    : m_records(records)
{}

void MinuteRecorder::addSample(Instant now, Milliseconds wall, const DataCentreSample &sample,
                               Outbox &out)
{
    m_nextSample = now + SampleInterval;
    addToMinute(sample);
    const Milliseconds jump = clockJump(now, wall);
    m_lastReading = ClockReading{now, wall};
    if (jump == Milliseconds(0) && minuteOf(wall) == minuteOf(m_recordedAt))
        return;
    m_minute.wall = wall;
    if (jump != Milliseconds(0))
        m_minute.seen.clockJumps.push_back(jump);
    m_minute.seen.refused = sample.refused - m_refusedRecorded;
    m_refusedRecorded = sample.refused;
    m_recordedAt = wall;
    m_records.append(std::exchange(m_minute, MinuteRecorded()), out);
}

Milliseconds MinuteRecorder::clockJump(Instant now, Milliseconds wall) const
{
    if (m_lastReading.has_value()) {
        const Milliseconds difference = (wall - m_lastReading->wall) - (now - m_lastReading->now);
        const bool isJump = difference > MaxClockAdjustment
                || difference < Milliseconds(0) - MaxClockAdjustment;
        return isJump ? difference : Milliseconds(0);
    }
    // A new authority can only detect that its clock is behind that of its predecessor.
    const Milliseconds difference = wall - m_records.lastMark();
    return difference < Milliseconds(0) - MaxClockDifference ? difference : Milliseconds(0);
}

void MinuteRecorder::addToMinute(const DataCentreSample &sample)
{
    MilliCores used;
    bool isWaiting = false;
    for (const auto &[team, demand] : sample.teams) {
        used += demand.used;
        isWaiting = isWaiting || demand.wanted > demand.used;
    }
    ++m_minute.seen.fit.all;
    if (!isWaiting || sample.usable <= MilliCores(0))
        return;
    add(m_minute.seen.fit, {0, 1, used.value(), sample.usable.value()});
    const std::map<TeamId, MilliCores> fairShares = computeFairShares(sample.usable, sample.teams);
    for (const auto &[team, demand] : sample.teams) {
        if (demand.wanted <= demand.used)
            continue;
        const std::int64_t shortfall = std::max<std::int64_t>(
                (fairShares.at(team) - demand.used).value() * PermilleScale / sample.usable.value(),
                0);
        add(m_minute.seen.shares[team],
            {1, shortfall > ShortfallThresholdPermille ? 1ULL : 0ULL, shortfall});
    }
}

} // namespace gentiancross
