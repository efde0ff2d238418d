#pragma once

#include "control/fair_parts.h"
#include "control/record_writer.h"

#include <map>
#include <optional>

namespace gentiancross {

/** What an authority sees of its data centre at one moment. */
struct DataCentreLook
{
    MilliCores usable;
    std::map<TeamId, TeamWant> teams;
    /** Requests refused since this authority began. */
    std::uint64_t refused = 0;
};

/**
 * The authority's side of the ledger: looks at the data centre once a second, and marks each minute
 * with a record, so that a minute without an authority, or with a clock that jumped, shows.
 * Thread safety: owned by the control thread.
 */
class DayKeeper
{
public:
    explicit DayKeeper(RecordWriter &records);

    [[nodiscard]] bool isLookDue(Instant now) const { return now >= m_nextLook; }
    /** Takes a look; marks the minute if it is a new one or the clock has jumped. */
    void look(Instant now, Milliseconds wall, const DataCentreLook &look, Outbox &out);

private:
    void compare(const DataCentreLook &look);
    [[nodiscard]] Milliseconds clockJump(Instant now, Milliseconds wall) const;

    struct Reading
    {
        Instant now;
        Milliseconds wall;
    };

    RecordWriter &m_records;
    Instant m_nextLook;
    std::optional<Reading> m_last;
    Milliseconds m_markedAt;
    MinuteRecorded m_mark;
    std::uint64_t m_refusedToldOf = 0;
};

} // namespace gentiancross
