#include "tests/control/jobs/loaded_sender.h"

#include <algorithm>
#include <utility>

namespace gentiancross::tests {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

// Together with the leader's own processing, 0.9 ms per start (the start and the list with its
// completion), which is the cost on a leader that makes all calls itself.
constexpr microseconds BeginCost{60};
constexpr microseconds ConnectCost{250};
constexpr microseconds SendCost{140};
constexpr microseconds ReadCost{130};
constexpr microseconds TimeoutCost{100};
constexpr microseconds OneWayLatency{1000};

} // namespace

LoadedSender::LoadedSender(VirtualTime &time, VirtualProcessor &processor, CallReceiver receiver,
                           AnswerHandler answerHandler)
    : m_time(time)
    , m_processor(processor)
    , m_receiver(std::move(receiver))
    , m_answerHandler(std::move(answerHandler))
{}

void LoadedSender::post(VirtualTime::Span cost, VirtualTime::Action action)
{
    m_processor.post(VirtualProcessor::Thread::Calls, cost, std::move(action));
}

bool LoadedSender::isTooOld(const CallWorker &call) const
{
    return timeOf(m_time) >= call.validUntil;
}

void LoadedSender::start(const CallWorker &call)
{
    m_openCalls.emplace(call.call, OpenCall{call, m_time.now()});
    post(BeginCost, [this, id = call.call] { begin(id); });
}

void LoadedSender::begin(CallId id)
{
    const CallWorker &call = m_openCalls.at(id).call;
    if (isTooOld(call)) {
        WorkerAnswer unsent;
        unsent.call = id;
        unsent.verdict = WorkerVerdict::NotSent;
        ++m_unsent;
        finish(id, unsent, false);
        return;
    }
    // Expired calls are handled only after answers that have already arrived.
    m_time.after(milliseconds(call.timeout.value()),
                 [this, id] { post(TimeoutCost, [this, id] { expire(id); }); });
    std::size_t &idle = m_idleConnections[call.incarnation.worker];
    if (idle > 0) {
        --idle;
        post(SendCost, [this, id] { send(id); });
        return;
    }
    ++m_connectionsOpened;
    post(ConnectCost, [this, id] {
        m_time.after(OneWayLatency * 2, [this, id] { post(SendCost, [this, id] { send(id); }); });
    });
}

void LoadedSender::send(CallId id)
{
    const auto open = m_openCalls.find(id);
    if (open == m_openCalls.end())
        return;
    if (isTooOld(open->second.call)) {
        WorkerAnswer unsent;
        unsent.call = id;
        unsent.verdict = WorkerVerdict::NotSent;
        ++m_unsent;
        finish(id, unsent, true);
        return;
    }
    m_longestWait = std::max(m_longestWait, m_time.now() - open->second.since);
    m_time.after(OneWayLatency, [this, call = open->second.call] {
        m_receiver(call, [this, id = call.call](WorkerAnswer answer) {
            m_time.after(OneWayLatency, [this, id, answer = std::move(answer)] {
                if (!m_openCalls.contains(id))
                    return;
                post(ReadCost, [this, id, answer] {
                    if (m_openCalls.contains(id))
                        finish(id, answer, true);
                });
            });
        });
    });
}

void LoadedSender::expire(CallId id)
{
    if (!m_openCalls.contains(id))
        return;
    ++m_timeouts;
    WorkerAnswer none;
    none.call = id;
    none.verdict = WorkerVerdict::NoAnswer;
    finish(id, none, false);
}

void LoadedSender::finish(CallId id, const WorkerAnswer &answer, bool keepsConnection)
{
    const auto open = m_openCalls.find(id);
    if (keepsConnection)
        ++m_idleConnections[open->second.call.incarnation.worker];
    m_openCalls.erase(open);
    m_answerHandler(answer);
}

} // namespace gentiancross::tests
