#pragma once

#include "core/jobs.h"

#include <string>

namespace gentiancross {

/** The task's name in log lines. Reentrant. */
std::string nameOf(const JobTaskRef &task);

/** The ending's name in log lines. Reentrant. */
const char *nameOf(RunEnding ending);

} // namespace gentiancross
