#pragma once

#include "core/units.h"

namespace gentiancross {

/** Time of a clock that only rises, for measuring how long something takes; read without a system
 * call. Reentrant. */
Nanoseconds readStopwatch();

/** Processor time that the calling thread has used; takes a system call. Reentrant. */
Microseconds threadProcessorTime();

/** Processor time that all threads of the process have used; takes a system call. Reentrant. */
Microseconds processProcessorTime();

} // namespace gentiancross
