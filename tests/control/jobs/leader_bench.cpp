#include "tests/control/jobs/leader_bench.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace gentiancross::tests {

namespace {

constexpr std::int64_t TickMs = 50;

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

ConfigDocument makeDocument(const Resources &cap, std::optional<AdviceTerms> advice)
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
    return document;
}

LeaderBench::LeaderBench(JobStoreData store, Bytes storedWork)
    : m_leader(m_now,
               {HostId("self"), Fence(5), "self:1", Milliseconds(DefaultJobRetentionMilliseconds),
                std::set<DataCentreId>(), storedWork},
               std::move(store))
{}

void LeaderBench::configure(const Resources &cap, std::optional<AdviceTerms> advice)
{
    configure(makeDocument(cap, advice));
}

void LeaderBench::configure(const ConfigDocument &document)
{
    call(PutConfiguration{document, {}});
}

void LeaderBench::processDecisions()
{
    m_leader.startReady(m_now, m_out);
    while (m_leader.hasDecisions()) {
        m_pendingDecisions.push_back(m_leader.takeDecisions());
        if (!m_isLogPaused)
            carryOut(std::exchange(m_pendingDecisions, {}).front());
    }
    for (Effect &effect : m_out.take()) {
        if (auto *order = std::get_if<CallWorker>(&effect))
            m_orders.push_back(std::move(*order));
        else if (auto *request = std::get_if<AdviceRequest>(&effect))
            m_adviceRequests.push_back(std::move(*request));
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
    for (const DecisionBatch &decisions : std::exchange(m_pendingDecisions, {}))
        carryOut(decisions);
    processDecisions();
}

void LeaderBench::commitOldest()
{
    const DecisionBatch oldest = std::move(m_pendingDecisions.front());
    m_pendingDecisions.erase(m_pendingDecisions.begin());
    carryOut(oldest);
    processDecisions();
}

std::vector<CallWorker> LeaderBench::startElsewhere(const std::string &silent,
                                                    const std::string &other)
{
    constexpr int MaxSteps = 120;
    std::vector<CallWorker> elsewhere;
    for (int step = 0; elsewhere.empty() && step < MaxSteps; ++step) {
        advance(TickMs * 2);
        sendHeartbeat(other);
        if (const std::optional<CallWorker> renewal = takeLeaseRenewal(silent))
            answer(*renewal, WorkerVerdict::NoAnswer);
        for (const CallWorker &start : takeStarts()) {
            if (start.incarnation.worker.value() == other)
                elsewhere.push_back(start);
        }
    }
    return elsewhere;
}

CallAnswer LeaderBench::call(const CellCall &call)
{
    return this->call(call, {HostId("self"), ExchangeId(++m_lastExchange), {}});
}

CallAnswer LeaderBench::call(const CellCall &call, const CallOrigin &origin)
{
    m_leader.receive(m_now, m_wall, origin, call, m_out);
    processDecisions();
    return m_isLogPaused ? CallAnswer() : m_answers.at(origin.exchange);
}

void LeaderBench::receive(const HeartbeatsReport &seen)
{
    m_leader.receive(m_now, seen, m_out);
    processDecisions();
}

CallAnswer LeaderBench::submit(const std::string &id, std::vector<StepSpec> steps,
                               const std::string &key)
{
    JobSpec spec;
    spec.steps = std::move(steps);
    return call(JobCall{JobVerb::Submit, "h", "/q/" + id, ApiKey(key), spec, {}});
}

CallAnswer LeaderBench::queryJob(const std::string &id, JobVerb verb)
{
    return call(JobCall{verb, "h", "/q/" + id, ApiKey("key-of-alpha"), {}, {}});
}

WorkerHeartbeat LeaderBench::makeHeartbeat(const std::string &worker, std::int64_t born)
{
    WorkerHeartbeat heartbeat;
    heartbeat.report.incarnation = makeIncarnation(worker, born);
    heartbeat.report.pool = PoolId("pool");
    heartbeat.report.address = worker + ":1";
    heartbeat.report.capacity.cores = MilliCores(1000);
    heartbeat.report.capacity.memory = Mebibytes(10'000);
    heartbeat.clock = m_now.value();
    heartbeat.sequence = ++m_lastHeartbeatSequence;
    return heartbeat;
}

void LeaderBench::sendHeartbeat(const std::string &worker, std::int64_t born, bool isDraining)
{
    WorkerHeartbeat heartbeat = makeHeartbeat(worker, born);
    heartbeat.report.isDraining = isDraining;
    call(heartbeat);
}

void LeaderBench::sendHeartbeatAt(const std::string &worker, std::int64_t clock)
{
    WorkerHeartbeat heartbeat = makeHeartbeat(worker);
    heartbeat.clock = clock;
    call(heartbeat);
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
    processDecisions();
}

void LeaderBench::answer(const WorkerAnswer &answer)
{
    m_leader.receive(m_now, answer, m_out);
    processDecisions();
}

void LeaderBench::answerLeaseRenewal(const std::string &worker, std::vector<ReportedRun> running,
                                     std::vector<ReportedCompletion> ended,
                                     std::optional<std::int64_t> clock)
{
    advance(TickMs * 4);
    const std::optional<CallWorker> renewal = takeLeaseRenewal(worker);
    if (!renewal.has_value())
        return;
    answerWithRuns(*renewal, std::move(running), std::move(ended), clock);
}

void LeaderBench::answerWithRuns(const CallWorker &renewal, std::vector<ReportedRun> running,
                                 std::vector<ReportedCompletion> ended,
                                 std::optional<std::int64_t> clock)
{
    WorkerAnswer answer;
    answer.call = renewal.call;
    answer.verdict = WorkerVerdict::Done;
    answer.clock = clock.value_or(m_now.value());
    answer.born = renewal.incarnation.born;
    answer.running = std::move(running);
    answer.ended = std::move(ended);
    m_leader.receive(m_now, answer, m_out);
    processDecisions();
}

void LeaderBench::confirm(const std::string &worker, std::int64_t born,
                          std::vector<ReportedRun> running)
{
    // Polls of former incarnations stay unanswered.
    while (const std::optional<CallWorker> poll = takeLeaseRenewal(worker)) {
        if (poll->incarnation != makeIncarnation(worker, born))
            continue;
        answerWithRuns(*poll, std::move(running), {});
        return;
    }
    FAIL("no lease renewal for " << worker << " born=" << born);
}

void LeaderBench::advance(std::int64_t milliseconds)
{
    const Instant until = m_now + Milliseconds(milliseconds);
    while (m_now < until) {
        m_now = m_now + Milliseconds(TickMs);
        m_wall += Milliseconds(TickMs);
        m_leader.tick(m_now, m_wall, m_out);
        processDecisions();
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

std::optional<CallWorker> LeaderBench::takeLeaseRenewal(const std::string &worker)
{
    const auto found = std::find_if(m_orders.begin(), m_orders.end(), [&](const CallWorker &order) {
        return std::holds_alternative<OrderLeaseRenewal>(order.order)
                && order.incarnation.worker.value() == worker;
    });
    if (found == m_orders.end())
        return std::nullopt;
    CallWorker renewal = *found;
    m_orders.erase(found);
    return renewal;
}

void LeaderBench::receiveAdvice(const AdviceResponse &response)
{
    m_leader.receive(m_now, response, m_out);
    processDecisions();
}

void LeaderBench::grantTickets()
{
    constexpr Milliseconds Validity{60'000};
    for (const AdviceRequest &request : takeAdviceRequests()) {
        AdviceResponse response{request.id, true, {}, Validity};
        for (const WorkerId &worker : request.workers)
            response.good.push_back({worker, "ticket"});
        receiveAdvice(response);
    }
}

} // namespace gentiancross::tests
