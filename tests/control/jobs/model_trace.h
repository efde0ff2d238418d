#pragma once

#include "core/job_calls.h"

#include <string>

namespace gentiancross::tests {

/** Format these for a line of a test's trace. */
std::string describe(const JobTaskRef &task);
std::string describe(const CallWorker &call);
std::string describe(const WorkerAnswer &answer);

} // namespace gentiancross::tests
