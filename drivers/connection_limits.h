#pragma once

#include "core/units.h"

#include <cstddef>

namespace gentiancross {

/** Limits on the incoming HTTP connections of a process, shared by all of its listeners. */
struct ConnectionLimits
{
    /** What connections, bodies, requests without a decision and unread answers may hold. */
    std::size_t bytes = 0;
    std::size_t connections = 0;
    /** Connections from one IP address. */
    std::size_t connectionsPerClient = 0;
    /** From the first byte of a request to its last, and from the first byte of an answer to its
     * last. */
    Milliseconds requestTime;
};

/** Used by processes whose settings do not state their machine's limits. */
inline constexpr Mebibytes DefaultProcessMemory{256};
inline constexpr std::size_t DefaultProcessDescriptors = 4096;

/** What an open connection costs without its exchange: the HTTP library's memory pool and the
 * records of the connection. */
inline constexpr std::size_t ConnectionPoolBytes = 8 << 10;
inline constexpr std::size_t ConnectionBytes = ConnectionPoolBytes + (1 << 10);

/** Derives the default limits from the memory and the descriptors of the process's machine.
 * Reentrant. */
ConnectionLimits deriveConnectionLimits(Mebibytes memory = DefaultProcessMemory,
                                        std::size_t descriptors = DefaultProcessDescriptors);

/** Derives how much memory decoded calls may take until the decision on them. Reentrant. */
Bytes deriveDecodedCallBytes(Mebibytes memory = DefaultProcessMemory);

} // namespace gentiancross
