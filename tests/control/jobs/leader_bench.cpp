#include "tests/control/jobs/leader_bench.h"

#include <algorithm>

namespace gentiancross::tests {

namespace {

constexpr std::int64_t TickMilliseconds = 50;

template <typename Order>
std::vector<CallWorker> takeOrders(std::vector<CallWorker> &orders)
{
    std::vector<CallWorker> taken;
    for (const CallWorker &order : orders) {
        if (std::holds_alternative<Order>(order.order))
            taken.push_back(order);
    }
    std::erase_if(orders, [](const CallWorker &order) {
        return std::holds_alternative<Order>(order.order);
    });
    return taken;
}

} // namespace

LeaderBench::LeaderBench(JobStoreData book)
    : m_leader(m_now, {HostId("self"), Fence(5), "self:1"}, std::move(book))
{}

void LeaderBench::configure(const Resources &cap, std::optional<AdviceTerms> advice)
{
    ConfigDocument document;
    document.version = DocumentVersion(1);
    QueueConfig queue;
    queue.queue = QueueId("checks");
    queue.host = "h";
    queue.pathPrefix = "/q/";
    queue.timeout = Milliseconds(3000);
    queue.pool = PoolId("pool");
    queue.maxAttempts = 2;
    queue.advice = advice;
    document.queues = {queue};
    document.pools = {{PoolId("pool"), false}};
    document.teams = {{TeamId("alpha"), {ApiKey("key-of-alpha")}, 1, cap}};
    call(PutConfiguration{document, {}});
}

void LeaderBench::settle()
{
    m_leader.startReady(m_now, m_out);
    while (m_leader.hasDecisions()) {
        m_undecided.push_back(m_leader.takeDecisions());
        if (!m_isLogPaused)
            carryOut(std::exchange(m_undecided, {}).front());
    }
    for (Effect &effect : m_out.take()) {
        if (auto *order = std::get_if<CallWorker>(&effect))
            m_orders.push_back(std::move(*order));
        else if (auto *ask = std::get_if<AdviceRequest>(&effect))
            m_asks.push_back(std::move(*ask));
    }
}

void LeaderBench::carryOut(const DecisionBatch &decisions)
{
    for (const OriginAnswer &answer : decisions.answers)
        m_answers[answer.origin.exchange] = answer.answer;
    m_leader.carryOut(m_now, decisions, m_out);
}

void LeaderBench::resumeLog()
{
    m_isLogPaused = false;
    for (const DecisionBatch &decisions : std::exchange(m_undecided, {}))
        carryOut(decisions);
    settle();
}

std::vector<CallWorker> LeaderBench::startElsewhere(const std::string &silent,
                                                    const std::string &other)
{
    constexpr int MostSteps = 120;
    std::vector<CallWorker> elsewhere;
    for (int step = 0; elsewhere.empty() && step < MostSteps; ++step) {
        pass(TickMilliseconds * 2);
        beat(other);
        if (const std::optional<CallWorker> hold = takeHold(silent))
            answer(*hold, WorkerVerdict::NoAnswer);
        for (const CallWorker &start : takeStarts()) {
            if (start.incarnation.worker.value() == other)
                elsewhere.push_back(start);
        }
    }
    return elsewhere;
}

CallAnswer LeaderBench::call(const CellCall &call)
{
    const ExchangeId exchange(++m_lastExchange);
    m_leader.receive(m_now, m_wall, {HostId("self"), exchange}, call, m_out);
    settle();
    return m_isLogPaused ? CallAnswer() : m_answers.at(exchange);
}

CallAnswer LeaderBench::submit(const std::string &id, std::vector<StepSpec> steps,
                               const std::string &key)
{
    JobSpec spec;
    spec.steps = std::move(steps);
    return call(JobCall{JobVerb::Submit, "h", "/q/" + id, ApiKey(key), spec, {}});
}

CallAnswer LeaderBench::look(const std::string &id, JobVerb verb)
{
    return call(JobCall{verb, "h", "/q/" + id, ApiKey("key-of-alpha"), {}, {}});
}

WorkerHeartbeat LeaderBench::makeBeat(const std::string &worker, std::int64_t born)
{
    WorkerHeartbeat beat;
    beat.report.incarnation = makeLife(worker, born);
    beat.report.pool = PoolId("pool");
    beat.report.address = worker + ":1";
    beat.report.capacity.cores = MilliCores(1000);
    beat.report.capacity.memory = Mebibytes(10'000);
    beat.clock = m_now.value();
    beat.sequence = ++m_lastBeat;
    return beat;
}

void LeaderBench::beat(const std::string &worker, std::int64_t born, bool isDraining)
{
    WorkerHeartbeat beat = makeBeat(worker, born);
    beat.report.isDraining = isDraining;
    call(beat);
}

void LeaderBench::beatAt(const std::string &worker, std::int64_t clock)
{
    WorkerHeartbeat beat = makeBeat(worker);
    beat.clock = clock;
    call(beat);
}

void LeaderBench::answer(const CallWorker &order, WorkerVerdict verdict, std::int64_t born)
{
    WorkerAnswer answer;
    answer.call = order.call;
    answer.verdict = verdict;
    if (verdict != WorkerVerdict::NoAnswer)
        answer.clock = m_now.value();
    if (born != 0)
        answer.born = Milliseconds(born);
    m_leader.receive(m_now, answer, m_out);
    settle();
}

void LeaderBench::answer(const WorkerAnswer &answer)
{
    m_leader.receive(m_now, answer, m_out);
    settle();
}

void LeaderBench::answerHold(const std::string &worker, std::vector<ReportedRun> running,
                             std::vector<ReportedCompletion> ended)
{
    pass(TickMilliseconds * 4);
    const std::optional<CallWorker> hold = takeHold(worker);
    if (!hold.has_value())
        return;
    answerList(*hold, std::move(running), std::move(ended));
}

void LeaderBench::answerList(const CallWorker &hold, std::vector<ReportedRun> running,
                             std::vector<ReportedCompletion> ended)
{
    WorkerAnswer answer;
    answer.call = hold.call;
    answer.verdict = WorkerVerdict::Done;
    answer.clock = m_now.value();
    answer.running = std::move(running);
    answer.ended = std::move(ended);
    m_leader.receive(m_now, answer, m_out);
    settle();
}

void LeaderBench::pass(std::int64_t milliseconds)
{
    const Instant until = m_now + Milliseconds(milliseconds);
    while (m_now < until) {
        m_now = m_now + Milliseconds(TickMilliseconds);
        m_wall += Milliseconds(TickMilliseconds);
        m_leader.tick(m_now, m_wall, m_out);
        settle();
    }
}

std::vector<CallWorker> LeaderBench::takeStarts()
{
    return takeOrders<OrderStart>(m_orders);
}

std::vector<CallWorker> LeaderBench::takeStops()
{
    return takeOrders<OrderStop>(m_orders);
}

std::optional<CallWorker> LeaderBench::takeHold(const std::string &worker)
{
    const auto found = std::find_if(m_orders.begin(), m_orders.end(), [&](const CallWorker &order) {
        return std::holds_alternative<OrderLeaseRenewal>(order.order)
                && order.incarnation.worker.value() == worker;
    });
    if (found == m_orders.end())
        return std::nullopt;
    CallWorker hold = *found;
    m_orders.erase(found);
    return hold;
}

void LeaderBench::tell(const AdviceResponse &told)
{
    m_leader.receive(m_now, told, m_out);
    settle();
}

} // namespace gentiancross::tests
