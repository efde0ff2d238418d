#pragma once

#include "core/ids.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace gentiancross {

/** Random text that no other process or store will ever have. Reentrant. */
std::string generateUniqueName();

/** A seed for a process that was given none. Reentrant. */
std::uint64_t generateRandomSeed();

/** The hash under which a key is agreed on; \a fleetSecret makes it useless elsewhere. Reentrant.
 */
KeyHash hashKey(std::string_view key, std::string_view fleetSecret);

/** True if both are the same, in a time that tells nothing of where they differ. Reentrant. */
bool isSameSecret(std::string_view first, std::string_view second);

} // namespace gentiancross
