#pragma once

#include <set>
#include <string>

namespace gentiancross::tests {

/**
 * Reads the names of tests that are known to fail: the first word of each line of the file \a path,
 * which is followed by the failure that was seen. Empty if the file can't be read. Reentrant.
 */
std::set<std::string> readKnownRed(const std::string &path);

} // namespace gentiancross::tests
