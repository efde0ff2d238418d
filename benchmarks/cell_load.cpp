#include "benchmarks/cell_load.h"

#include "benchmarks/report.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>

namespace gentiancross::benchmarks {

namespace {

constexpr Milliseconds RoundTrip{2};
/** A sync of the deployment's disks and the round trip to a quorum. */
constexpr Milliseconds CommitTime{12};
constexpr Milliseconds TickInterval{50};
constexpr Milliseconds HeartbeatInterval{1500};
constexpr Milliseconds TicketValidity{2500};
constexpr double MillisecondsPerSecond = 1000.0;
/** Fraction of the workers in an advice request that may run the step. */
constexpr double FitFractionShort = 0.7;
constexpr double FitFractionLong = 0.35;
constexpr int WorkersPerRack = 6;
constexpr std::size_t PayloadBytes = 2400;

constexpr char ShortQueue[] = "/short/";
constexpr char LongQueue[] = "/long/";

QueueConfig queue(const std::string &name, std::int64_t priority, AdviceTerms advice)
{
    QueueConfig config;
    config.queue = QueueId(name);
    config.host = "h";
    config.pathPrefix = name;
    config.timeout = Milliseconds(3000);
    config.allowance = Milliseconds(1200);
    config.stretchPermille = 2000;
    config.priority = priority;
    config.pool = PoolId("pool");
    config.maxAttempts = 3;
    config.advice = advice;
    return config;
}

} // namespace

CellLoad::CellLoad(const CellShape &shape, std::uint32_t seed)
    : m_shape(shape)
    , m_random(seed)
    , m_arrivals(seed + 1)
    , m_leader(m_now, {HostId("self"), Fence(5), "self:1"}, {})
{
    ConfigDocument document;
    document.version = DocumentVersion(1);
    document.queues = {queue(ShortQueue, 0, {19'000, 280, TicketValidity}),
                       queue(LongQueue, 2, {370'000, 5'300, TicketValidity})};
    document.pools = {{PoolId("pool"), false}};
    document.teams = {{TeamId("alpha"), {ApiKey("key")}, 1, {}}};
    callLeader([&] {
        m_leader.receive(m_now, m_wall, {HostId("self"), ExchangeId(1)},
                         PutConfiguration{document, {}}, m_out);
    });
    for (int index = 0; index < m_shape.workers; ++index) {
        Worker worker;
        worker.report.incarnation = {WorkerId("w" + std::to_string(index)), Milliseconds(1)};
        worker.report.pool = PoolId("pool");
        worker.report.address = "10.0.0.1:" + std::to_string(index);
        worker.report.rack = RackId("r" + std::to_string(index / WorkersPerRack));
        const std::array<std::int64_t, 4> halves = {2, 2, 1, 4};
        worker.report.capacity.cores = MilliCores(m_shape.workerMillicores * halves[index % 4] / 2);
        worker.report.capacity.memory = Mebibytes(1'000'000);
        const WorkerIncarnation incarnation = worker.report.incarnation;
        m_workers.emplace(incarnation, std::move(worker));
        schedule(Milliseconds(index % HeartbeatInterval.value()),
                 [this, incarnation] { sendHeartbeat(incarnation); });
    }
    scheduleArrival(true);
    scheduleArrival(false);
}

double CellLoad::drawExponential(double mean)
{
    return -mean * std::log(1.0 - std::uniform_real_distribution<double>(0.0, 1.0)(m_arrivals));
}

void CellLoad::schedule(Milliseconds delay, Action action)
{
    m_events.push({m_now + delay, ++m_lastEvent, std::move(action)});
}

void CellLoad::run(Milliseconds span)
{
    const Instant until = m_now + span;
    Instant nextTick = m_now + TickInterval;
    while (m_now < until) {
        if (m_events.empty() || m_events.top().at >= nextTick) {
            m_wall += nextTick - m_now;
            m_now = nextTick;
            nextTick = nextTick + TickInterval;
            callLeader([&] {
                for (int index = 0; index < m_shape.callers; ++index)
                    m_leader.recordAdviserContact(m_now, HostId("caller" + std::to_string(index)));
                m_leader.tick(m_now, m_wall, m_out);
                m_out.reportMeasurements(m_now);
            });
            continue;
        }
        const ScheduledEvent next = m_events.top();
        m_events.pop();
        m_wall += next.at - m_now;
        m_now = next.at;
        next.action();
    }
}

void CellLoad::callLeader(const Action &call)
{
    const double begin = threadSeconds();
    call();
    if (!m_pendingCommit.has_value()) {
        m_leader.startReady(m_now, m_out);
        if (m_leader.hasDecisions()) {
            m_pendingCommit = m_leader.takeDecisions();
            schedule(m_pendingCommit->records.empty() ? Milliseconds(0) : CommitTime,
                     [this] { completeCommit(); });
        }
    }
    m_busySeconds += threadSeconds() - begin;
    for (Effect &effect : m_out.take())
        applyEffect(std::move(effect));
}

void CellLoad::completeCommit()
{
    const DecisionBatch decisions = std::move(*m_pendingCommit);
    m_pendingCommit.reset();
    callLeader([&] { m_leader.carryOut(m_now, decisions, m_out); });
}

void CellLoad::applyEffect(Effect effect)
{
    if (const auto *call = std::get_if<CallWorker>(&effect))
        schedule(RoundTrip, [this, call = *call] { deliverOrder(call); });
    else if (const auto *request = std::get_if<AdviceRequest>(&effect))
        advise(HostId("self"), *request);
    else if (auto *message = std::get_if<SendToPeer>(&effect))
        advise(message->to, std::get<AdviceRequest>(message->message));
}

void CellLoad::deliverOrder(const CallWorker &call)
{
    Worker &worker = m_workers.at(call.incarnation);
    if (const auto *startOrder = std::get_if<OrderStart>(&call.order))
        startRun(worker, *startOrder);
    if (const auto *renewal = std::get_if<OrderLeaseRenewal>(&call.order)) {
        std::erase_if(worker.ended, [&](const ReportedCompletion &completion) {
            return completion.number <= renewal->durableUpTo;
        });
        worker.pendingRenewal = call;
        if (!worker.ended.empty() || renewal->wait == Milliseconds(0))
            answerRenewal(worker);
        else
            schedule(renewal->wait, [this, incarnation = call.incarnation, id = call.call] {
                Worker &late = m_workers.at(incarnation);
                if (late.pendingRenewal.has_value() && late.pendingRenewal->call == id)
                    answerRenewal(late);
            });
        return;
    }
    WorkerAnswer answer;
    answer.call = call.call;
    answer.verdict = WorkerVerdict::Done;
    answer.clock = m_now.value();
    callLeader([&] { m_leader.receive(m_now, answer, m_out); });
}

void CellLoad::startRun(Worker &worker, const OrderStart &order)
{
    ++m_starts;
    m_stepsStarted.insert(order.task.step);
    const JobId &job = order.task.step.job;
    m_waits.try_emplace(job, m_now - m_accepted.at(job));
    worker.running.insert_or_assign(order.task, order.run);
    const Milliseconds mean = m_shortJobs.contains(job) ? m_shape.shortRun : m_shape.longRun;
    const double factor = 0.5 + std::uniform_real_distribution<double>(0.0, 1.0)(m_random);
    schedule(Milliseconds(std::int64_t(double(mean.value()) * factor)),
             [this, incarnation = worker.report.incarnation, task = order.task, run = order.run] {
                 endRun(incarnation, task, run);
             });
}

void CellLoad::endRun(const WorkerIncarnation &incarnation, const JobTaskRef &task, RunNumber run)
{
    Worker &worker = m_workers.at(incarnation);
    worker.running.erase(task);
    worker.lastCompletion = worker.lastCompletion.next();
    worker.ended.push_back({worker.lastCompletion, task, run, RunEnding::Done, {}});
    if (worker.pendingRenewal.has_value())
        answerRenewal(worker);
}

void CellLoad::answerRenewal(Worker &worker)
{
    WorkerAnswer answer;
    answer.call = worker.pendingRenewal->call;
    worker.pendingRenewal.reset();
    answer.verdict = WorkerVerdict::Done;
    answer.clock = m_now.value();
    for (const auto &[task, run] : worker.running)
        answer.running.push_back({task, run, {}, 100, 0});
    answer.ended = worker.ended;
    callLeader([&] { m_leader.receive(m_now, answer, m_out); });
}

void CellLoad::advise(const HostId &host, const AdviceRequest &request)
{
    const bool isShort = m_shortJobs.contains(request.step.job);
    const double fitFraction = isShort ? FitFractionShort : FitFractionLong;
    AdviceResponse response{request.id, true, {}, TicketValidity};
    for (const WorkerId &worker : request.workers) {
        if (std::uniform_real_distribution<double>(0.0, 1.0)(m_random) < fitFraction)
            response.good.push_back({worker, "ticket"});
    }
    const double scoringMs = double(request.workers.size()) * (isShort ? 0.28 : 5.3);
    const auto took = Milliseconds(std::int64_t((isShort ? 19.0 : 370.0) + scoringMs));
    ++m_adviserCalls;
    m_adviserSeconds += double(took.value()) / MillisecondsPerSecond;
    Instant &free = m_callerFree[host];
    free = std::max(m_now, free) + took;
    schedule(free - m_now,
             [this, response] { callLeader([&] { m_leader.receive(m_now, response, m_out); }); });
}

void CellLoad::sendHeartbeat(const WorkerIncarnation &incarnation)
{
    Worker &worker = m_workers.at(incarnation);
    const WorkerHeartbeat heartbeat{worker.report, m_now.value(), ++worker.sequence};
    callLeader([&] {
        m_leader.receive(m_now, m_wall, {HostId("self"), ExchangeId(1)}, CellCall(heartbeat),
                         m_out);
    });
    schedule(HeartbeatInterval, [this, incarnation] { this->sendHeartbeat(incarnation); });
}

void CellLoad::scheduleArrival(bool isShort)
{
    const double perSecond
            = m_rateFactor * (isShort ? m_shape.shortJobsPerSecond : m_shape.longJobsPerSecond);
    schedule(Milliseconds(std::int64_t(drawExponential(MillisecondsPerSecond / perSecond))),
             [this, isShort] {
                 constexpr std::uint64_t HashMultiplier = 0x9E3779B97F4A7C15ULL;
                 const JobId id(
                         absl::StrCat(absl::Hex(++m_jobs * HashMultiplier, absl::kZeroPad16)));
                 m_accepted.emplace(id, m_now);
                 if (isShort)
                     m_shortJobs.insert(id);
                 JobSpec spec;
                 spec.payload = std::string(PayloadBytes, 'x');
                 const int steps = isShort ? 1 + int(m_arrivals() % 10 < 6) : 2;
                 for (int number = 0; number < steps; ++number) {
                     StepSpec step;
                     const double width
                             = drawExponential(isShort ? m_shape.shortWidth : m_shape.longWidth);
                     step.count = std::uint32_t(std::clamp(width, 1.0, 64.0));
                     step.perTask.cores = MilliCores(isShort ? m_shape.shortMillicores
                                                             : m_shape.longMillicores);
                     step.perTask.memory = Mebibytes(100);
                     step.estimate = isShort ? m_shape.shortRun : m_shape.longRun;
                     if (number > 0)
                         step.after = {std::uint32_t(number - 1)};
                     spec.steps.push_back(step);
                 }
                 const std::string path = (isShort ? ShortQueue : LongQueue) + id.value();
                 callLeader([&] {
                     m_leader.receive(m_now, m_wall, {HostId("self"), ExchangeId(1)},
                                      JobCall{JobVerb::Submit, "h", path, ApiKey("key"), spec, {}},
                                      m_out);
                 });
                 scheduleArrival(isShort);
             });
}

std::vector<double> CellLoad::waits(bool areShort) const
{
    std::vector<double> waits;
    for (const auto &[job, accepted] : m_accepted) {
        if (m_shortJobs.contains(job) != areShort)
            continue;
        const auto started = m_waits.find(job);
        const Milliseconds wait = started == m_waits.end() ? m_now - accepted : started->second;
        waits.push_back(double(wait.value()));
    }
    return waits;
}

} // namespace gentiancross::benchmarks
