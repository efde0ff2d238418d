#pragma once

#include "core/units.h"

#include <ace/Event_Handler.h>
#include <ace/Reactor.h>

#include <memory>

namespace gentiancross {

/** Receives the ticks and signals of a MainLoop. All methods are called on the thread that runs the
 * loop. */
class MainLoopHandler
{
public:
    MainLoopHandler() = default;
    MainLoopHandler(const MainLoopHandler &) = delete;
    MainLoopHandler &operator=(const MainLoopHandler &) = delete;
    virtual ~MainLoopHandler() = default;

    virtual void handleTick() = 0;
    /** Called from the loop, not from the signal handler. */
    virtual void handleSignal(int signal) = 0;
};

/**
 * Event loop of the main thread, which delivers ticks and signals to a MainLoopHandler. The timers
 * use the monotonic clock: with the reactor's default timers, setting the wall clock back stops all
 * ticks for as long as the step.
 */
class MainLoop final : private ACE_Event_Handler
{
public:
    /** Time between two ticks. */
    static constexpr Milliseconds Interval{50};

    /** \a handler must outlive this object. */
    /** Holds back the signals that end a host or change its settings, until a loop runs; their
     * default action ends the process. Call on the main thread before any other thread starts. */
    static void holdSignals();
    /** Ends the effect of holdSignals() on this thread; signals that came meanwhile take effect. */
    static void releaseSignals();

    explicit MainLoop(MainLoopHandler &handler);
    ~MainLoop() override;

    /** Forwards \a signal to the handler from now on. Precondition: not running. */
    void watchSignal(int signal);
    /** Runs until stop() is called, and delivers signals that were held back. Call once, on the
     * main thread. */
    void run();
    /** Ends the loop. Thread safety: any thread. */
    void stop();

    /** Returns the current time of the clock used by the timers, counted from the machine's start.
     * Thread safety: any thread. */
    [[nodiscard]] Milliseconds timerTime();

private:
    int handle_timeout(const ACE_Time_Value &now, const void *argument) override;
    int handle_signal(int signal, siginfo_t *info, ucontext_t *context) override;

    MainLoopHandler &m_handler;
    std::unique_ptr<ACE_Timer_Queue> m_timers;
    ACE_Reactor m_reactor;
};

} // namespace gentiancross
