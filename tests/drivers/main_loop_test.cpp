#include "drivers/main_loop.h"

#include "drivers/system_clock.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace gentiancross;

namespace {

/** Ends its mainLoop after some ticks and raises a signal before. */
class CountingListener final : public MainLoopHandler
{
public:
    void handleTick() override
    {
        if (++ticks == 2)
            std::raise(SIGUSR1);
        if (signal != 0)
            mainLoop->stop();
    }
    void handleSignal(int number) override { signal = number; }

    MainLoop *mainLoop = nullptr;
    int ticks = 0;
    int signal = 0;
};

} // namespace

TEST_CASE("Ticks follow the monotonic clock, so a step of the wall clock does not stop them")
{
    CountingListener listener;
    MainLoop mainLoop(listener);
    // Both clocks count from the machine's start, the wall clock from 1970.
    CHECK(mainLoop.timerTime() < SystemClock().wallTime() / 2);
}

TEST_CASE("A mainLoop ticks, hands signals on and ends")
{
    CountingListener listener;
    MainLoop mainLoop(listener);
    listener.mainLoop = &mainLoop;
    mainLoop.watchSignal(SIGUSR1);
    mainLoop.run();
    CHECK(listener.ticks >= 2);
    CHECK(listener.signal == SIGUSR1);
}
