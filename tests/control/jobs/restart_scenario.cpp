#include "tests/control/jobs/restart_scenario.h"

#include "tests/control/jobs/model_trace.h"

#include <algorithm>
#include <iterator>

namespace gentiancross::tests {

namespace {

const std::string worker = "v";
const std::string firstJob = "00000000000000aa";
const std::string otherJob = "00000000000000cc";
constexpr std::int64_t Cores = 100;
constexpr std::int64_t WaitMs = 200;
constexpr int MaxLostAnswers = 2;
constexpr int MaxTimeOuts = 2;
constexpr int MaxWaits = 2;
constexpr int MaxSubmissions = 2;

std::string jobName(int submission)
{
    return "00000000000000b" + std::to_string(submission);
}

std::string describe(const RestartScenario::Event &event)
{
    static const char *const names[] = {"execute",   "execute, answer lost",
                                        "time out",  "submit",
                                        "end run",   "restart",
                                        "heartbeat", "wait"};
    return std::string(names[int(event.kind)]) + " " + std::to_string(event.index);
}

} // namespace

RestartScenario::RestartScenario(const ScenarioStart &start)
{
    m_worker.bornAt = m_bench.now() - Milliseconds(start.clock);
    m_bench.configure();
    sendHeartbeat();
    if (start.hasOtherRun)
        m_bench.submit(otherJob, {makeStep(1, Cores)});
    m_bench.submit(firstJob, {makeStep(1, Cores)});
    collectOrders();
    executeAll();
    m_bench.advance(50);
    collectOrders();
    endRun(makeTask(firstJob, 0, 0));
    m_trace.clear();
}

std::int64_t RestartScenario::clock() const
{
    return (m_bench.now() - m_worker.bornAt).value();
}

void RestartScenario::sendHeartbeat()
{
    WorkerHeartbeat heartbeat = m_bench.makeHeartbeat(worker, m_worker.born);
    heartbeat.clock = clock();
    m_bench.call(heartbeat);
}

void RestartScenario::collectOrders()
{
    std::vector<CallWorker> orders = m_bench.takeStarts();
    std::ranges::move(m_bench.takeStops(), std::back_inserter(orders));
    while (const std::optional<CallWorker> renewal = m_bench.takeLeaseRenewal(worker))
        orders.push_back(*renewal);
    std::ranges::sort(orders, {}, [](const CallWorker &order) { return order.call; });
    for (CallWorker &order : orders) {
        m_trace += "  sent " + std::to_string(m_calls.size()) + ": " + tests::describe(order)
                + " token=" + std::to_string(fencingTokenOf(order).value()) + "\n";
        const auto *start = std::get_if<OrderStart>(&order.order);
        if (start != nullptr && m_forgottenTasks.contains(start->task))
            m_violations.emplace_back("a start after an end that was dropped unseen");
        m_calls.push_back({std::move(order)});
    }
}

void RestartScenario::executeAll()
{
    for (std::size_t index = 0; index < m_calls.size(); ++index)
        apply({EventKind::Execute, index});
}

bool RestartScenario::isDone(const JobTaskRef &task)
{
    const TaskProgress *const progress = jobstore::find(m_bench.leader().store(), task);
    return progress != nullptr && progress->isDone;
}

std::vector<RestartScenario::Event> RestartScenario::possibleEvents() const
{
    std::vector<Event> events;
    for (std::size_t index = 0; index < m_calls.size(); ++index) {
        const Call &call = m_calls[index];
        if (!call.wasExecuted && !call.isClosed)
            events.push_back({EventKind::Execute, index});
        if (!call.wasExecuted && (call.isClosed || m_lostAnswers < MaxLostAnswers))
            events.push_back({EventKind::LoseAnswer, index});
        if (!call.isClosed && m_timeOuts < MaxTimeOuts)
            events.push_back({EventKind::TimeOut, index});
    }
    for (std::size_t index = 0; index < m_worker.running.size(); ++index) {
        if (std::next(m_worker.running.begin(), std::ptrdiff_t(index))->first
            != makeTask(otherJob, 0, 0))
            events.push_back({EventKind::EndRun, index});
    }
    if (m_submissions < MaxSubmissions)
        events.push_back({EventKind::Submit});
    if (m_restarts == 0)
        events.push_back({EventKind::Restart});
    if (!m_isRegistered)
        events.push_back({EventKind::Heartbeat});
    if (m_waits < MaxWaits)
        events.push_back({EventKind::Wait});
    return events;
}

void RestartScenario::apply(const Event &event)
{
    m_trace += describe(event) + "\n";
    switch (event.kind) {
    case EventKind::LoseAnswer: {
        Call &call = m_calls[event.index];
        call.wasExecuted = true;
        m_lostAnswers += call.isClosed ? 0 : 1;
        m_trace += "  " + tests::describe(execute(call.order)) + "\n";
        break;
    }
    case EventKind::EndRun:
        endRun(std::next(m_worker.running.begin(), std::ptrdiff_t(event.index))->first);
        break;
    case EventKind::Restart: {
        ++m_restarts;
        m_isRegistered = false;
        Incarnation next;
        next.born = m_worker.born + 1;
        next.bornAt = m_bench.now();
        m_worker = next;
        break;
    }
    default:
        applyToLeader(event);
        collectOrders();
    }
}

void RestartScenario::applyToLeader(const Event &event)
{
    m_inputs += std::to_string(int(event.kind)) + "," + std::to_string(event.index);
    if (event.kind == EventKind::Execute) {
        Call &call = m_calls[event.index];
        call.wasExecuted = true;
        call.isClosed = true;
        const WorkerAnswer answer = execute(call.order);
        for (const ReportedCompletion &end : answer.ended)
            m_worker.received.insert(end.number);
        m_inputs += tests::describe(answer) + " " + std::to_string(answer.clock.value_or(-1)) + " "
                + std::to_string(m_worker.born);
        m_trace += "  " + tests::describe(answer) + "\n";
        m_bench.answer(answer);
    } else if (event.kind == EventKind::TimeOut) {
        ++m_timeOuts;
        Call &call = m_calls[event.index];
        call.isClosed = true;
        m_bench.answer(call.order, WorkerVerdict::NoAnswer);
    } else if (event.kind == EventKind::Submit) {
        m_bench.submit(jobName(m_submissions++), {makeStep(1, Cores)});
    } else if (event.kind == EventKind::Heartbeat) {
        m_isRegistered = true;
        sendHeartbeat();
    } else {
        ++m_waits;
        m_bench.advance(WaitMs);
    }
    m_inputs += ";";
}

void RestartScenario::endRun(const JobTaskRef &task)
{
    m_worker.lastEnd = m_worker.lastEnd.next();
    m_worker.ended.push_back(
            {m_worker.lastEnd, task, m_worker.running.at(task), RunEnding::Done, {}});
    m_worker.running.erase(task);
}

WorkerAnswer RestartScenario::execute(const CallWorker &order)
{
    WorkerAnswer answer;
    answer.call = order.call;
    answer.clock = clock();
    answer.verdict = WorkerVerdict::Done;
    if (fencingTokenOf(order) < m_worker.fence) {
        answer.verdict = WorkerVerdict::Fenced;
        return answer;
    }
    m_worker.fence = fencingTokenOf(order);
    if (const auto *start = std::get_if<OrderStart>(&order.order)) {
        const bool hasEnded = std::ranges::any_of(m_worker.ended, [&](const auto &end) {
            return end.task == start->task && end.run >= start->run;
        });
        if (order.leaseUntil <= clock())
            answer.verdict = WorkerVerdict::Late;
        else if (hasEnded)
            answer.verdict = WorkerVerdict::Superseded;
        else
            m_worker.running.insert_or_assign(start->task, start->run);
    } else if (const auto *renewal = std::get_if<OrderLeaseRenewal>(&order.order)) {
        forgetEnds(renewal->durableUpTo);
        answer.born = Milliseconds(m_worker.born);
        for (const auto &[task, run] : m_worker.running)
            answer.running.push_back({task, run, {}, 100, 0});
        answer.ended = m_worker.ended;
    } else {
        const JobTaskRef &task = std::get<OrderStop>(order.order).task;
        if (m_worker.running.contains(task)) {
            endRun(task);
            m_worker.ended.back().ending = RunEnding::Stopped;
        }
    }
    return answer;
}

void RestartScenario::forgetEnds(CompletionNumber upTo)
{
    std::erase_if(m_worker.ended, [&](const ReportedCompletion &end) {
        if (end.number > upTo)
            return false;
        const bool isRecorded = m_worker.received.contains(end.number) || isDone(end.task);
        if (end.ending == RunEnding::Done && !isRecorded) {
            m_forgottenTasks.insert(end.task);
            m_violations.push_back("an end was dropped that the leader has not recorded: "
                                   + tests::describe(end.task));
        }
        return true;
    });
}

std::string RestartScenario::state() const
{
    std::string state = m_inputs + "|" + std::to_string(m_worker.born) + " "
            + std::to_string(m_worker.bornAt.value()) + " " + std::to_string(m_worker.fence.value())
            + " " + std::to_string(m_lostAnswers) + "|";
    for (const Call &call : m_calls)
        state += call.wasExecuted ? "1" : "0";
    for (const auto &[task, run] : m_worker.running)
        state += tests::describe(task) + "/" + std::to_string(run.value()) + " ";
    state += "|";
    for (const ReportedCompletion &end : m_worker.ended)
        state += std::to_string(end.number.value()) + ":" + tests::describe(end.task) + " "
                + std::to_string(int(end.ending)) + std::to_string(end.run.value());
    return state;
}

} // namespace gentiancross::tests
