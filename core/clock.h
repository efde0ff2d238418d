#pragma once

#include "core/units.h"

namespace gentiancross {

/**
 * The only source of time in the project, in milliseconds.
 * Thread safety: implementations may be read from any thread.
 */
class Clock
{
public:
    Clock() = default;
    Clock(const Clock &) = delete;
    Clock &operator=(const Clock &) = delete;
    virtual ~Clock() = default;

    /** Monotonic time of this host; never goes back, and advances while the process is paused. */
    [[nodiscard]] virtual Instant now() const = 0;

    /** Milliseconds since 1970 by the wall clock; for display only, never for leases. */
    [[nodiscard]] virtual Milliseconds wallTime() const = 0;
};

} // namespace gentiancross
