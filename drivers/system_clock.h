#pragma once

#include "core/clock.h"

namespace gentiancross {

/** Reads the operating system's clocks. Reentrant. */
class SystemClock final : public Clock
{
public:
    [[nodiscard]] Instant now() const override;
    [[nodiscard]] Milliseconds wallTime() const override;
};

} // namespace gentiancross
