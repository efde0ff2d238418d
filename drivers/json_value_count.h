#pragma once

#include <cstddef>
#include <string_view>

namespace gentiancross {

/** The number of values and members in a JSON text, at least; of a malformed text, an upper bound
 * of what a reader finds before the error. Allocates nothing. Reentrant. */
std::size_t countJsonValues(std::string_view text);

} // namespace gentiancross
