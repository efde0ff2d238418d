#pragma once

#include "core/jobs.h"
#include "core/units.h"

#include <cstdint>

namespace gentiancross {

/** The number of tasks that request \a task each and fit in \a room; very large if \a task requests
 * nothing. Reentrant. */
[[nodiscard]] std::uint64_t wholeTasksIn(const Resources &room, const Resources &task);

/** The number of the step's tasks that one worker with \a room may run, within the step's limit of
 * tasks per worker. Reentrant. */
[[nodiscard]] std::uint64_t wholeTasksOnWorker(const Resources &room, const StepSpec &step);

/** The part of such tasks that uses up \a room, in thousandths, rounded up. Reentrant. */
[[nodiscard]] std::uint64_t milliTasksIn(const Resources &room, const Resources &task);

} // namespace gentiancross
