#include "drivers/system_clock.h"

#include <ace/OS_NS_sys_time.h>
#include <ace/OS_NS_time.h>

namespace gentiancross {

namespace {

constexpr std::int64_t MillisecondsPerSecond = 1000;
constexpr std::int64_t NanosecondsPerMillisecond = 1'000'000;

} // namespace

Instant SystemClock::now() const
{
    timespec time = {};
    // Includes the time for which the host was suspended, since leases must also expire meanwhile.
    ACE_OS::clock_gettime(CLOCK_BOOTTIME, &time);
    return Instant(time.tv_sec * MillisecondsPerSecond + time.tv_nsec / NanosecondsPerMillisecond);
}

Milliseconds SystemClock::wallTime() const
{
    timespec time = {};
    ACE_OS::clock_gettime(CLOCK_REALTIME, &time);
    return Milliseconds(time.tv_sec * MillisecondsPerSecond
                        + time.tv_nsec / NanosecondsPerMillisecond);
}

} // namespace gentiancross
