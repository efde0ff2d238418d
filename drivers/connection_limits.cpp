#include "drivers/connection_limits.h"

#include <algorithm>

namespace gentiancross {

namespace {

constexpr std::size_t BytesPerMebibyte = 1 << 20;
/** The rest of the memory is for decoded calls, the state and the allocator's overhead. */
constexpr std::size_t MemoryDivisor = 4;
constexpr std::int64_t DecodedCallDivisor = 12;
/** At most half of the budget is spent on connections, so that bodies have the other half. */
constexpr std::size_t ConnectionShareDivisor = 2;
/** Long enough for a legal body at a tenth of the slowest link (1.5 Mbit/s). */
constexpr Milliseconds RequestTime{120'000};

constexpr std::size_t threeQuarters(std::size_t value)
{
    return value - value / 4;
}

} // namespace

ConnectionLimits deriveConnectionLimits(Mebibytes memory, std::size_t descriptors)
{
    ConnectionLimits limits;
    limits.bytes = static_cast<std::size_t>(memory.value()) * BytesPerMebibyte / MemoryDivisor;
    // The remaining descriptors are for files and for the process's own connections.
    limits.connections = std::max<std::size_t>(
            1,
            std::min(threeQuarters(descriptors),
                     limits.bytes / ConnectionShareDivisor / ConnectionBytes));
    limits.connectionsPerClient = std::max<std::size_t>(1, threeQuarters(limits.connections));
    limits.requestTime = RequestTime;
    return limits;
}

Bytes deriveDecodedCallBytes(Mebibytes memory)
{
    return toBytes(memory) / DecodedCallDivisor;
}

} // namespace gentiancross
