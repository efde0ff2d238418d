#include "drivers/pulse.h"

#include "drivers/system_clock.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace gentiancross;

namespace {

/** Ends its pulse after some ticks and raises a signal before. */
class CountingListener final : public PulseListener
{
public:
    void ticked() override
    {
        if (++ticks == 2)
            std::raise(SIGUSR1);
        if (signal != 0)
            pulse->end();
    }
    void signalled(int number) override { signal = number; }

    Pulse *pulse = nullptr;
    int ticks = 0;
    int signal = 0;
};

} // namespace

TEST_CASE("Ticks follow the monotonic clock, so a step of the wall clock does not stop them")
{
    CountingListener listener;
    Pulse pulse(listener);
    // Both clocks count from the machine's start, the wall clock from 1970.
    CHECK(pulse.timerTime() < SystemClock().wallTime() / 2);
}

TEST_CASE("A pulse ticks, hands signals on and ends")
{
    CountingListener listener;
    Pulse pulse(listener);
    listener.pulse = &pulse;
    pulse.watch(SIGUSR1);
    pulse.run();
    CHECK(listener.ticks >= 2);
    CHECK(listener.signal == SIGUSR1);
}
