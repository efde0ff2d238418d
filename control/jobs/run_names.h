#pragma once

#include "core/jobs.h"

#include <string>

namespace gentiancross {

/** The name of the task in log lines: job, occurrence, step and index. Reentrant. */
std::string nameOf(const JobTaskRef &task);

/** The name of the ending in log lines. Reentrant. */
const char *nameOf(RunEnding ending);

} // namespace gentiancross
