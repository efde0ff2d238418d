#include "drivers/processor_time.h"

#include <ace/OS_NS_sys_time.h>
#include <ace/OS_NS_time.h>

namespace gentiancross {

namespace {

constexpr std::int64_t NanosecondsPerSecond = 1'000'000'000;
constexpr std::int64_t NanosecondsPerMicrosecond = 1000;

Nanoseconds readClock(clockid_t clock)
{
    timespec time = {};
    ACE_OS::clock_gettime(clock, &time);
    return Nanoseconds(time.tv_sec * NanosecondsPerSecond + time.tv_nsec);
}

} // namespace

Nanoseconds readStopwatch()
{
    return readClock(CLOCK_MONOTONIC);
}

Microseconds threadProcessorTime()
{
    return Microseconds(readClock(CLOCK_THREAD_CPUTIME_ID).value() / NanosecondsPerMicrosecond);
}

Microseconds processProcessorTime()
{
    return Microseconds(readClock(CLOCK_PROCESS_CPUTIME_ID).value() / NanosecondsPerMicrosecond);
}

} // namespace gentiancross
