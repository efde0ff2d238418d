#pragma once

#include "tests/control/jobs/leased_worker.h"
#include "tests/control/jobs/virtual_processor.h"

#include <functional>
#include <map>

namespace gentiancross::tests {

/**
 * Simulates the thread that calls workers, in virtual time: it reuses connections, has one time-out
 * per call, and checks whether an order has expired before spending any time on it and again when
 * its bytes are sent.
 */
class LoadedSender
{
public:
    using CallReceiver = std::function<void(const CallWorker &, LeasedWorker::Reply)>;
    using AnswerHandler = std::function<void(const WorkerAnswer &)>;

    /** \a receiver gets the calls at the worker; \a answerHandler gets the answers. */
    LoadedSender(VirtualTime &time, VirtualProcessor &processor, CallReceiver receiver,
                 AnswerHandler answerHandler);

    void start(const CallWorker &call);

    [[nodiscard]] std::size_t connectionsOpened() const { return m_connectionsOpened; }
    [[nodiscard]] std::size_t unsent() const { return m_unsent; }
    [[nodiscard]] std::size_t timeouts() const { return m_timeouts; }
    /** The longest time from the start of a call to the sending of its bytes. */
    [[nodiscard]] VirtualTime::Span longestWait() const { return m_longestWait; }

private:
    struct OpenCall
    {
        CallWorker call;
        VirtualTime::Span since;
    };

    void begin(CallId id);
    void send(CallId id);
    void expire(CallId id);
    void finish(CallId id, const WorkerAnswer &answer, bool keepsConnection);
    [[nodiscard]] bool isTooOld(const CallWorker &call) const;
    void post(VirtualTime::Span cost, VirtualTime::Action action);

    VirtualTime &m_time;
    VirtualProcessor &m_processor;
    CallReceiver m_receiver;
    AnswerHandler m_answerHandler;
    std::map<CallId, OpenCall> m_openCalls;
    std::map<WorkerId, std::size_t> m_idleConnections;
    std::size_t m_connectionsOpened = 0;
    std::size_t m_unsent = 0;
    std::size_t m_timeouts = 0;
    VirtualTime::Span m_longestWait{0};
};

} // namespace gentiancross::tests
