#include "drivers/eviction_policy.h"

#include <cmath>

namespace gentiancross {

namespace {

/** A connection without a complete request counts as this many times as old as one that was used.
 */
constexpr double NeverServedFactor = 8;
/** Above the logarithm of any number of bytes times milliseconds. */
constexpr double MaxLog = 128;

} // namespace

double LongestHolderPolicy::weight(const ConnectionUse &use, Shortage shortage, Instant now) const
{
    if (use.isTrusted || use.phase == ConnectionPhase::Deciding)
        return 0;
    const auto age = static_cast<double>((now - use.since).value()) + 1;
    if (shortage == Shortage::Connections)
        return use.wasServed ? age : age * NeverServedFactor;
    // An idle connection is closed for memory only if no exchange can be.
    if (use.bytes == 0)
        return 1 - 1 / (1 + age);
    // The client that holds most comes first, so that a client with one large document does not go
    // before another one with many connections. Of one client, what holds most for longest.
    const double heldForLong = std::log2(1 + age * static_cast<double>(use.bytes)) / MaxLog;
    return 1 + static_cast<double>(use.clientBytes) + heldForLong;
}

} // namespace gentiancross
