#pragma once

#include "core/units.h"

#include <ace/Event_Handler.h>
#include <ace/Reactor.h>

#include <memory>

namespace gentiancross {

/** Hears of a mainLoop's ticks and signals. All methods are called on the thread that runs it. */
class MainLoopHandler
{
public:
    MainLoopHandler() = default;
    MainLoopHandler(const MainLoopHandler &) = delete;
    MainLoopHandler &operator=(const MainLoopHandler &) = delete;
    virtual ~MainLoopHandler() = default;

    virtual void handleTick() = 0;
    /** Called between waits, not inside the signal's handler. */
    virtual void handleSignal(int signal) = 0;
};

/**
 * The main thread's loop: ticks and signals. Its timers follow the monotonic clock, since with the
 * reactor's own a step of the wall clock backwards stops all ticks for as long as the step.
 */
class MainLoop final : private ACE_Event_Handler
{
public:
    /** How often it ticks. */
    static constexpr Milliseconds Interval{50};

    /** \a listener must outlive this object. */
    explicit MainLoop(MainLoopHandler &listener);
    ~MainLoop() override;

    /** Hands \a signal on from now on. Precondition: not running. */
    void watch(int signal);
    /** Ticks until `end`. Call once, on one thread. */
    void run();
    /** Ends the loop. Safe from any thread. */
    void end();

    /** The time that its timers go by, since the machine's start. Safe from any thread. */
    [[nodiscard]] Milliseconds timerTime();

private:
    int handle_timeout(const ACE_Time_Value &now, const void *argument) override;
    int handle_signal(int signal, siginfo_t *info, ucontext_t *context) override;

    MainLoopHandler &m_listener;
    std::unique_ptr<ACE_Timer_Queue> m_timers;
    ACE_Reactor m_reactor;
};

} // namespace gentiancross
