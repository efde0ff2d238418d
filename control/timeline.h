#pragma once

#include "core/effects.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <string>

namespace gentiancross {

/**
 * Owns this host's part of the time line: its latest steps in logical time, oldest dropped first.
 * The reducer and the authorities add to it.
 * Follows L. Lamport, "Time, Clocks, and the Ordering of Events in a Distributed System", 1978.
 * Thread safety: owned by the control thread.
 */
class Timeline
{
public:
    explicit Timeline(HostId host)
        : m_host(std::move(host))
    {}

    /** Sets the wall time recorded with the entries that follow. */
    void setWallTime(Milliseconds wall) { m_wall = wall; }

    void note(std::string subject, std::string what)
    {
        m_entries.push_back({m_host, ++m_logicalTime, m_wall, std::move(subject), std::move(what)});
        if (m_entries.size() > MaxEntries)
            m_entries.pop_front();
    }

    /** Advances the logical time and returns it, to be sent with a message. */
    std::uint64_t timeForSending() { return ++m_logicalTime; }
    void received(std::uint64_t logicalTime)
    {
        m_logicalTime = std::max(m_logicalTime, logicalTime) + 1;
    }

    [[nodiscard]] const std::deque<TimelineEntry> &entries() const { return m_entries; }

private:
    static constexpr std::size_t MaxEntries = 4000;

    HostId m_host;
    Milliseconds m_wall;
    std::uint64_t m_logicalTime = 0;
    std::deque<TimelineEntry> m_entries;
};

} // namespace gentiancross
