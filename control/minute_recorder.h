#pragma once

#include "control/fair_shares.h"
#include "control/record_writer.h"

#include <map>
#include <optional>

namespace gentiancross {

/** What an authority sees of its data centre at one moment. */
struct DataCentreSample
{
    MilliCores usable;
    std::map<TeamId, FairShareDemand> teams;
    /** Requests refused since this authority began. */
    std::uint64_t refused = 0;
};

/**
 * The authority's side of the ledger: looks at the data centre once a second, and marks each minute
 * with a record, so that a minute without an authority, or with a clock that jumped, shows.
 * Thread safety: owned by the control thread.
 */
class MinuteRecorder
{
public:
    explicit MinuteRecorder(RecordWriter &records);

    [[nodiscard]] bool isSampleDue(Instant now) const { return now >= m_nextSample; }
    /** Takes a look; marks the minute if it is a new one or the clock has jumped. */
    void look(Instant now, Milliseconds wall, const DataCentreSample &look, Outbox &out);

private:
    void compare(const DataCentreSample &look);
    [[nodiscard]] Milliseconds clockJump(Instant now, Milliseconds wall) const;

    struct Reading
    {
        Instant now;
        Milliseconds wall;
    };

    RecordWriter &m_records;
    Instant m_nextSample;
    std::optional<Reading> m_last;
    Milliseconds m_markedAt;
    MinuteRecorded m_mark;
    std::uint64_t m_refusedRecorded = 0;
};

} // namespace gentiancross
