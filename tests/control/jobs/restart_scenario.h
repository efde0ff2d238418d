#pragma once

#include "tests/control/jobs/leader_bench.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace gentiancross::tests {

/** The situation in which a `RestartScenario` begins. */
struct ScenarioStart
{
    /** Reading of the worker's clock when it registers. */
    std::int64_t clock = 0;
    /** True if another run keeps executing on the worker. */
    bool hasOtherRun = false;
};

/**
 * Owns a leader and one worker, which has just ended a run that the leader has not been told of,
 * and applies events to them one by one. The worker may restart once under its name. Calls are
 * executed by the incarnation that is there then, in any order. Thread safety: single thread.
 */
class RestartScenario
{
public:
    enum class EventKind { Execute, LoseAnswer, TimeOut, Submit, EndRun, Restart, Heartbeat, Wait };

    struct Event
    {
        EventKind kind;
        /** The call, or the run, that the event is about. */
        std::size_t index = 0;
    };

    explicit RestartScenario(const ScenarioStart &start);

    /** The events that are possible now. */
    [[nodiscard]] std::vector<Event> possibleEvents() const;
    /** Precondition: \a event is possible. */
    void apply(const Event &event);
    /** The rules that were broken so far. */
    [[nodiscard]] const std::vector<std::string> &violations() const { return m_violations; }
    /** Equal for two scenarios if the same events have the same effects from now on. */
    [[nodiscard]] std::string state() const;
    /** The events that were applied, with the orders that followed each of them. */
    [[nodiscard]] const std::string &trace() const { return m_trace; }
    [[nodiscard]] bool hasRestarted() const { return m_restarts > 0; }

private:
    struct Call
    {
        CallWorker order;
        bool wasExecuted = false;
        /** True once the leader has an answer or has given the call up. */
        bool isClosed = false;
    };

    struct Incarnation
    {
        std::int64_t born = 1;
        Instant bornAt;
        FencingToken fence;
        std::map<JobTaskRef, RunNumber> running;
        std::vector<ReportedCompletion> ended;
        CompletionNumber lastEnd;
        /** Ends in lists that the leader has received. */
        std::set<CompletionNumber> received;
    };

    void sendHeartbeat();
    void collectOrders();
    void executeAll();
    void endRun(const JobTaskRef &task);
    WorkerAnswer execute(const CallWorker &order);
    void forgetEnds(CompletionNumber upTo);
    void applyToLeader(const Event &event);
    [[nodiscard]] std::int64_t clock() const;
    [[nodiscard]] bool isDone(const JobTaskRef &task);

    LeaderBench m_bench;
    Incarnation m_worker;
    std::vector<Call> m_calls;
    std::set<JobTaskRef> m_forgottenTasks;
    int m_restarts = 0;
    int m_lostAnswers = 0;
    int m_timeOuts = 0;
    int m_submissions = 0;
    int m_waits = 0;
    bool m_isRegistered = true;
    /** All that the leader was told. */
    std::string m_inputs;
    std::string m_trace;
    std::vector<std::string> m_violations;
};

} // namespace gentiancross::tests
