#include "drivers/main_loop.h"

#include <ace/Event_Handler_Handle_Timeout_Upcall.h>
#include <ace/Monotonic_Time_Policy.h>
#include <ace/Select_Reactor.h>
#include <ace/Timer_Heap_T.h>

#include <csignal>

namespace gentiancross {

namespace {

using MonotonicTimers
        = ACE_Timer_Heap_T<ACE_Event_Handler *, ACE_Event_Handler_Handle_Timeout_Upcall,
                           ACE_SYNCH_RECURSIVE_MUTEX, ACE_Monotonic_Time_Policy>;

constexpr long MicrosecondsPerMillisecond = 1000;

void maskHostSignals(int how)
{
    sigset_t signals;
    ::sigemptyset(&signals);
    for (const int signal : {SIGTERM, SIGINT, SIGHUP})
        ::sigaddset(&signals, signal);
    ::pthread_sigmask(how, &signals, nullptr);
}

} // namespace

void MainLoop::holdSignals()
{
    maskHostSignals(SIG_BLOCK);
}

void MainLoop::releaseSignals()
{
    maskHostSignals(SIG_UNBLOCK);
}

MainLoop::MainLoop(MainLoopHandler &handler)
    : m_handler(handler)
    , m_timers(std::make_unique<MonotonicTimers>())
    , m_reactor(new ACE_Select_Reactor(nullptr, m_timers.get()), true)
{
    reactor(&m_reactor);
}

MainLoop::~MainLoop()
{
    m_reactor.cancel_timer(this);
    reactor(nullptr);
}

void MainLoop::watchSignal(int signal)
{
    m_reactor.register_handler(signal, this);
}

void MainLoop::run()
{
    const ACE_Time_Value interval(0, Interval.value() * MicrosecondsPerMillisecond);
    m_reactor.schedule_timer(this, nullptr, interval, interval);
    releaseSignals();
    m_reactor.run_reactor_event_loop();
    m_reactor.cancel_timer(this);
}

void MainLoop::stop()
{
    m_reactor.end_reactor_event_loop();
}

Milliseconds MainLoop::timerTime()
{
    return Milliseconds(static_cast<std::int64_t>(m_timers->gettimeofday().msec()));
}

int MainLoop::handle_timeout(const ACE_Time_Value &, const void *)
{
    m_handler.handleTick();
    return 0;
}

int MainLoop::handle_signal(int signal, siginfo_t *, ucontext_t *)
{
    m_handler.handleSignal(signal);
    return 0;
}

} // namespace gentiancross
