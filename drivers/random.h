#pragma once

#include "core/ids.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace gentiancross {

/** Returns a random name, unique among all processes and stores. Reentrant. */
std::string generateUniqueName();

/** Returns a random seed for a process that was started without one. Reentrant. */
std::uint64_t generateRandomSeed();

/** Returns the hash that stands for \a key in the replicated state. It is salted with
 * \a fleetSecret, so that it is useless in another fleet. Reentrant. */
KeyHash hashKey(std::string_view key, std::string_view fleetSecret);

/** Compares two secrets in a time that does not reveal where they differ. Reentrant. */
bool isSameSecret(std::string_view first, std::string_view second);

} // namespace gentiancross
