#pragma once

#include "core/job_calls.h"

namespace gentiancross::evacuation {

/** Returns \a call; if it begins or ends an evacuation, with the time for which the host that
 * relays it has held it, so that the leader can tell which of two orders came first. Reentrant. */
[[nodiscard]] CellCall withAge(CellCall call, Milliseconds age);

} // namespace gentiancross::evacuation
