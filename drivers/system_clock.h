#pragma once

#include "core/clock.h"

namespace gentiancross {

/** The operating system's clocks. Thread safety: reentrant. */
class SystemClock final : public Clock
{
public:
    [[nodiscard]] Instant now() const override;
    [[nodiscard]] Milliseconds wallTime() const override;
};

} // namespace gentiancross
