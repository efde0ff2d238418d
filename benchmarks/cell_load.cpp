#include "benchmarks/cell_load.h"

#include "benchmarks/report.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>

namespace gentiancross::benchmarks {

namespace {

constexpr Milliseconds RoundTrip{2};
/** A sync of the deployment's disks and the way to a quorum. */
constexpr Milliseconds CommitTime{12};
constexpr Milliseconds TickTime{50};
constexpr Milliseconds BeatTime{1500};
constexpr Milliseconds ShortRun{800};
constexpr Milliseconds LongRun{3800};
constexpr Milliseconds TicketValidity{2500};
constexpr double MillisecondsPerSecond = 1000.0;
/** Of the workers asked about, this part may run a step. */
constexpr double GoodOfShort = 0.7;
constexpr double GoodOfLong = 0.35;
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
    , m_leader(m_now, {HostId("self"), Fence(5), "self:1"}, {})
{
    ConfigDocument document;
    document.version = DocumentVersion(1);
    document.queues = {queue(ShortQueue, 0, {19'000, 280, TicketValidity}),
                       queue(LongQueue, 2, {370'000, 5'300, TicketValidity})};
    document.pools = {{PoolId("pool"), false}};
    document.teams = {{TeamId("alpha"), {ApiKey("key")}, 1, {}}};
    drive([&] {
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
        worker.report.capacity.cores = MilliCores(m_shape.millicores * halves[index % 4] / 2);
        worker.report.capacity.memory = Mebibytes(1'000'000);
        const WorkerIncarnation life = worker.report.incarnation;
        m_workers.emplace(life, std::move(worker));
        at(Milliseconds(index % BeatTime.value()), [this, life] { beat(life); });
    }
    arrive(true);
    arrive(false);
}

double CellLoad::drawn(double mean)
{
    return -mean * std::log(1.0 - std::uniform_real_distribution<double>(0.0, 1.0)(m_random));
}

void CellLoad::at(Milliseconds delay, Action action)
{
    m_events.push({m_now + delay, ++m_lastEvent, std::move(action)});
}

void CellLoad::run(Milliseconds span)
{
    const Instant until = m_now + span;
    Instant nextTick = m_now + TickTime;
    while (m_now < until) {
        if (m_events.empty() || m_events.top().at >= nextTick) {
            m_wall += nextTick - m_now;
            m_now = nextTick;
            nextTick = nextTick + TickTime;
            drive([&] {
                for (int index = 0; index < m_shape.callers; ++index)
                    m_leader.recordAdviserContact(m_now, HostId("caller" + std::to_string(index)));
                m_leader.tick(m_now, m_wall, m_out);
                m_out.reportMeasurements(m_now);
            });
            continue;
        }
        const Timed next = m_events.top();
        m_events.pop();
        m_wall += next.at - m_now;
        m_now = next.at;
        next.action();
    }
}

void CellLoad::drive(const Action &call)
{
    const double begin = threadSeconds();
    call();
    if (!m_underWay.has_value()) {
        m_leader.startReady(m_now, m_out);
        if (m_leader.hasDecisions()) {
            m_underWay = m_leader.takeDecisions();
            at(m_underWay->records.empty() ? Milliseconds(0) : CommitTime, [this] { commit(); });
        }
    }
    m_busy += threadSeconds() - begin;
    for (Effect &effect : m_out.take())
        carryOut(std::move(effect));
}

void CellLoad::commit()
{
    const DecisionBatch decisions = std::move(*m_underWay);
    m_underWay.reset();
    drive([&] { m_leader.carryOut(m_now, decisions, m_out); });
}

void CellLoad::carryOut(Effect effect)
{
    if (const auto *call = std::get_if<CallWorker>(&effect))
        at(RoundTrip, [this, call = *call] { order(call); });
    else if (const auto *ask = std::get_if<AdviceRequest>(&effect))
        advise(*ask);
    else if (auto *message = std::get_if<SendToPeer>(&effect))
        advise(std::get<AdviceRequest>(message->message));
}

void CellLoad::order(const CallWorker &call)
{
    Worker &worker = m_workers.at(call.incarnation);
    if (const auto *startOrder = std::get_if<OrderStart>(&call.order))
        start(worker, *startOrder);
    if (const auto *hold = std::get_if<OrderLeaseRenewal>(&call.order)) {
        std::erase_if(worker.ended, [&](const ReportedCompletion &end) {
            return end.number <= hold->durableUpTo;
        });
        worker.hold = call;
        if (!worker.ended.empty() || hold->wait == Milliseconds(0))
            answerHold(worker);
        else
            at(hold->wait, [this, life = call.incarnation, id = call.call] {
                Worker &late = m_workers.at(life);
                if (late.hold.has_value() && late.hold->call == id)
                    answerHold(late);
            });
        return;
    }
    WorkerAnswer answer;
    answer.call = call.call;
    answer.verdict = WorkerVerdict::Done;
    answer.clock = m_now.value();
    drive([&] { m_leader.receive(m_now, answer, m_out); });
}

void CellLoad::start(Worker &worker, const OrderStart &order)
{
    ++m_starts;
    const JobId &job = order.task.step.job;
    m_waits.try_emplace(job, m_now - m_accepted.at(job));
    worker.running.insert_or_assign(order.task, order.run);
    const Milliseconds mean = m_shortJobs.contains(job) ? ShortRun : LongRun;
    const double factor = 0.5 + std::uniform_real_distribution<double>(0.0, 1.0)(m_random);
    at(Milliseconds(std::int64_t(double(mean.value()) * factor)),
       [this, life = worker.report.incarnation, task = order.task, run = order.run] {
           end(life, task, run);
       });
}

void CellLoad::end(const WorkerIncarnation &life, const JobTaskRef &task, RunNumber run)
{
    Worker &worker = m_workers.at(life);
    worker.running.erase(task);
    worker.lastEnd = worker.lastEnd.next();
    worker.ended.push_back({worker.lastEnd, task, run, RunEnding::Done, {}});
    if (worker.hold.has_value())
        answerHold(worker);
}

void CellLoad::answerHold(Worker &worker)
{
    WorkerAnswer answer;
    answer.call = worker.hold->call;
    worker.hold.reset();
    answer.verdict = WorkerVerdict::Done;
    answer.clock = m_now.value();
    for (const auto &[task, run] : worker.running)
        answer.running.push_back({task, run, {}, 100, 0});
    answer.ended = worker.ended;
    drive([&] { m_leader.receive(m_now, answer, m_out); });
}

void CellLoad::advise(const AdviceRequest &ask)
{
    const bool isShort = m_shortJobs.contains(ask.step.job);
    const double part = isShort ? GoodOfShort : GoodOfLong;
    AdviceResponse told{ask.id, true, {}, TicketValidity};
    for (const WorkerId &worker : ask.workers) {
        if (std::uniform_real_distribution<double>(0.0, 1.0)(m_random) < part)
            told.good.push_back({worker, "ticket"});
    }
    const double each = double(ask.workers.size()) * (isShort ? 0.28 : 5.3);
    const auto took = Milliseconds(std::int64_t((isShort ? 19.0 : 370.0) + each));
    at(took, [this, told] { drive([&] { m_leader.receive(m_now, told, m_out); }); });
}

void CellLoad::beat(const WorkerIncarnation &life)
{
    Worker &worker = m_workers.at(life);
    const WorkerHeartbeat beat{worker.report, m_now.value(), ++worker.sequence};
    drive([&] {
        m_leader.receive(m_now, m_wall, {HostId("self"), ExchangeId(1)}, CellCall(beat), m_out);
    });
    at(BeatTime, [this, life] { this->beat(life); });
}

void CellLoad::arrive(bool isShort)
{
    const double perSecond = isShort ? m_shape.shortJobs : m_shape.longJobs;
    at(Milliseconds(std::int64_t(drawn(MillisecondsPerSecond / perSecond))), [this, isShort] {
        constexpr std::uint64_t Scatter = 0x9E3779B97F4A7C15ULL;
        const JobId id(absl::StrCat(absl::Hex(++m_jobs * Scatter, absl::kZeroPad16)));
        m_accepted.emplace(id, m_now);
        if (isShort)
            m_shortJobs.insert(id);
        JobSpec spec;
        spec.payload = std::string(PayloadBytes, 'x');
        const int steps = isShort ? 1 + int(m_random() % 10 < 6) : 2;
        for (int number = 0; number < steps; ++number) {
            StepSpec step;
            const double width = drawn(isShort ? m_shape.shortWidth : m_shape.longWidth);
            step.count = std::uint32_t(std::clamp(width, 1.0, 64.0));
            step.perTask.cores = MilliCores(isShort ? m_shape.shortCores : m_shape.longCores);
            step.perTask.memory = Mebibytes(100);
            step.estimate = isShort ? ShortRun : LongRun;
            if (number > 0)
                step.after = {std::uint32_t(number - 1)};
            spec.steps.push_back(step);
        }
        const std::string path = (isShort ? ShortQueue : LongQueue) + id.value();
        drive([&] {
            m_leader.receive(m_now, m_wall, {HostId("self"), ExchangeId(1)},
                             JobCall{JobVerb::Submit, "h", path, ApiKey("key"), spec, {}}, m_out);
        });
        arrive(isShort);
    });
}

std::vector<double> CellLoad::waits() const
{
    std::vector<double> waits;
    for (const JobId &job : m_shortJobs) {
        const auto started = m_waits.find(job);
        const Milliseconds wait
                = started == m_waits.end() ? m_now - m_accepted.at(job) : started->second;
        waits.push_back(double(wait.value()));
    }
    return waits;
}

} // namespace gentiancross::benchmarks
