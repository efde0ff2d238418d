#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace gentiancross::tests {

/** Starts a program with its output appended to the file \a log. The program is killed when this
 * process ends. */
pid_t spawn(const std::vector<std::string> &words, const std::string &log);

} // namespace gentiancross::tests
