#include "drivers/main_loop.h"

#include "drivers/system_clock.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace gentiancross;

namespace {

/** Raises a signal on the second tick and stops the main loop once the signal has arrived. */
class CountingHandler final : public MainLoopHandler
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

TEST_CASE("Ticks follow the monotonic clock, so that setting the wall clock does not stop them")
{
    CountingHandler handler;
    MainLoop mainLoop(handler);
    // The monotonic clock counts from the machine's start, the wall clock from 1970.
    CHECK(mainLoop.timerTime() < SystemClock().wallTime() / 2);
}

TEST_CASE("A main loop ticks, forwards signals and stops")
{
    CountingHandler handler;
    MainLoop mainLoop(handler);
    handler.mainLoop = &mainLoop;
    mainLoop.watchSignal(SIGUSR1);
    mainLoop.run();
    CHECK(handler.ticks >= 2);
    CHECK(handler.signal == SIGUSR1);
}

// Guards against a host that ends without a log line because its settings change while it starts.
TEST_CASE("A signal that arrives before the main loop runs is delivered by it")
{
    MainLoop::holdSignals();
    std::raise(SIGHUP);
    CountingHandler handler;
    MainLoop mainLoop(handler);
    handler.mainLoop = &mainLoop;
    mainLoop.watchSignal(SIGHUP);
    mainLoop.run();
    CHECK(handler.signal == SIGHUP);
}
