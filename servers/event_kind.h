#pragma once

#include "core/events.h"
#include "core/measurements.h"

namespace gentiancross {

/** The kind under which the time for the event is counted. Reentrant. */
[[nodiscard]] EventKind kindOf(const EventPayload &payload);

} // namespace gentiancross
