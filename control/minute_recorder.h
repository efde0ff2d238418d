#pragma once

#include "control/fair_shares.h"
#include "control/record_writer.h"

#include <map>
#include <optional>

namespace gentiancross {

/** One sample of a data centre's load, taken by its authority. */
struct DataCentreSample
{
    MilliCores usable;
    std::map<TeamId, FairShareDemand> teams;
    /** Requests refused since this authority took over. */
    std::uint64_t refused = 0;
};

/**
 * Aggregates one sample of the data centre per second and appends a ledger record for each minute.
 * A minute without an authority is thus visible as a gap, and a jump of the clock as an entry.
 * Owned and called by a DataCentreAuthority.
 * Thread safety: owned by the control thread.
 */
class MinuteRecorder
{
public:
    explicit MinuteRecorder(RecordWriter &records);

    [[nodiscard]] bool isSampleDue(Instant now) const { return now >= m_nextSample; }
    /** Adds a sample; appends a record if a new minute has begun or the clock has jumped. */
    void addSample(Instant now, Milliseconds wall, const DataCentreSample &sample, Outbox &out);

private:
    void addToMinute(const DataCentreSample &sample);
    [[nodiscard]] Milliseconds clockJump(Instant now, Milliseconds wall) const;

    struct ClockReading
    {
        Instant now;
        Milliseconds wall;
    };

    RecordWriter &m_records;
    Instant m_nextSample;
    std::optional<ClockReading> m_lastReading;
    Milliseconds m_recordedAt;
    MinuteRecorded m_minute;
    std::uint64_t m_refusedRecorded = 0;
};

} // namespace gentiancross
