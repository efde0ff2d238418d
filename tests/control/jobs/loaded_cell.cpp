#include "tests/control/jobs/loaded_cell.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>

namespace gentiancross::tests {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** A disk sync and the round trip to a quorum. */
constexpr milliseconds CommitDelay{12};
constexpr milliseconds TickInterval{50};
constexpr milliseconds HeartbeatInterval{1500};
constexpr microseconds CallCost{100};
constexpr microseconds HeartbeatCost{60};
constexpr microseconds AnswerCost{60};
constexpr microseconds TickCost{200};
constexpr microseconds CommitCost{150};
constexpr microseconds RecordCost{15};
constexpr Milliseconds Wall{1'000'000'000};
constexpr std::uint32_t TasksPerJob = 10;
constexpr milliseconds ShortTaskDuration{800};
constexpr milliseconds LongTaskDuration{3800};
/** One task in this many is long. */
constexpr std::size_t LongTaskPeriod = 5;
constexpr std::int64_t TaskMillicores = 1000;
/** Capacity for more tasks than a leader can start while they run. */
constexpr std::int64_t WorkerMillicores = 8000;

ConfigDocument makeDocument()
{
    ConfigDocument document;
    document.version = DocumentVersion(1);
    QueueConfig queue;
    queue.queue = QueueId("checks");
    queue.host = "h";
    queue.pathPrefix = "/q/";
    queue.timeout = Milliseconds(3000);
    queue.allowance = Milliseconds(1200);
    queue.stretchPermille = 2000;
    queue.pool = PoolId("pool");
    queue.maxAttempts = 3;
    document.queues = {queue};
    document.pools = {{PoolId("pool"), false}};
    document.teams = {{TeamId("alpha"), {ApiKey("key")}, 1, {}}};
    return document;
}

} // namespace

LoadedCell::LoadedCell(const LoadedCellOptions &options)
    : m_options(options)
    , m_random(options.seed)
    , m_processor(m_time, options.processorPermille)
    , m_sender(
              m_time, m_processor,
              [this](const CallWorker &call, LeasedWorker::Reply reply) {
                  m_workers.at(call.incarnation).receive(call, std::move(reply));
              },
              [this](const WorkerAnswer &answer) {
                  postToControl(AnswerCost, [this, answer] {
                      m_leader.receive(timeOf(m_time), answer, m_out);
                  });
              })
    , m_leader(timeOf(m_time), {HostId("self"), Fence(5), "self:1"}, {})
{
    m_leader.receive(timeOf(m_time), Wall, {HostId("self"), ExchangeId(1)},
                     PutConfiguration{makeDocument(), {}}, m_out);
    addWorkers();
    tick();
    submitArrivals();
}

void LoadedCell::addWorkers()
{
    for (int index = 0; index < m_options.workers; ++index) {
        WorkerReport report;
        report.incarnation = {WorkerId(absl::StrCat("w", index)), Milliseconds(1)};
        report.pool = PoolId("pool");
        report.address = absl::StrCat("10.0.0.1:", index);
        report.capacity.cores = MilliCores(WorkerMillicores);
        report.capacity.memory = Mebibytes(1'000'000);
        const WorkerIncarnation incarnation = report.incarnation;
        m_workers.emplace(incarnation,
                          LeasedWorker(report, m_time, m_witness, [this](const JobTaskRef &task) {
                              return LeasedWorker::RunCourse{durationOf(task)};
                          }));
        m_time.after(milliseconds(index % HeartbeatInterval.count()),
                     [this, incarnation] { sendHeartbeat(incarnation); });
    }
}

VirtualTime::Span LoadedCell::durationOf(const JobTaskRef &task) const
{
    const std::size_t hash
            = std::hash<std::string>()(absl::StrCat(task.step.job.value(), ".", task.index));
    const milliseconds mean = hash % LongTaskPeriod == 0 ? LongTaskDuration : ShortTaskDuration;
    constexpr std::size_t Percent = 101;
    return mean / 2 + mean * (hash / LongTaskPeriod % Percent) / (Percent - 1);
}

void LoadedCell::run(seconds span, double tasksPerSecond)
{
    m_tasksPerSecond = tasksPerSecond;
    m_time.run(span);
}

void LoadedCell::postToControl(VirtualTime::Span cost, VirtualTime::Action action)
{
    m_processor.post(VirtualProcessor::Thread::Control, cost,
                     [this, since = m_time.now(), action = std::move(action)] {
                         m_longestControlWait
                                 = std::max(m_longestControlWait, m_time.now() - since);
                         action();
                         processDecisions();
                     });
}

void LoadedCell::processDecisions()
{
    const Instant now = timeOf(m_time);
    while (!m_committing.has_value()) {
        m_leader.startReady(now, m_out);
        if (!m_leader.hasDecisions())
            break;
        DecisionBatch decisions = m_leader.takeDecisions();
        if (decisions.records.empty()) {
            m_leader.carryOut(now, decisions, m_out);
            continue;
        }
        const microseconds cost = CommitCost + RecordCost * std::int64_t(decisions.records.size());
        m_committing = std::move(decisions);
        m_time.after(CommitDelay,
                     [this, cost] { postToControl(cost, [this] { completeCommit(); }); });
    }
    for (const Effect &effect : m_out.take()) {
        if (const auto *call = std::get_if<CallWorker>(&effect))
            m_sender.start(*call);
    }
}

void LoadedCell::completeCommit()
{
    const DecisionBatch decisions = std::move(*m_committing);
    m_committing.reset();
    m_leader.carryOut(timeOf(m_time), decisions, m_out);
    recordCompletedJobs();
}

void LoadedCell::recordCompletedJobs()
{
    for (auto open = m_openJobs.begin(); open != m_openJobs.end();) {
        const auto job = m_leader.store().jobs.find(*open);
        if (job == m_leader.store().jobs.end() || !job->second.isOver()) {
            ++open;
            continue;
        }
        m_jobs.at(*open).completedAt = m_time.now();
        open = m_openJobs.erase(open);
    }
}

void LoadedCell::tick()
{
    postToControl(TickCost, [this] {
        m_leader.tick(timeOf(m_time), Wall, m_out);
        m_time.after(TickInterval, [this] { tick(); });
    });
}

void LoadedCell::sendHeartbeat(const WorkerIncarnation &incarnation)
{
    postToControl(HeartbeatCost, [this, heartbeat = m_workers.at(incarnation).makeHeartbeat()] {
        m_leader.receive(timeOf(m_time), Wall, {HostId("self"), ExchangeId(1)}, CellCall(heartbeat),
                         m_out);
    });
    m_time.after(HeartbeatInterval, [this, incarnation] { sendHeartbeat(incarnation); });
}

void LoadedCell::submitArrivals()
{
    // Short enough that a change of the rate takes effect at once.
    constexpr milliseconds Step{5};
    const double expected = m_tasksPerSecond / TasksPerJob * Step.count() / 1000.0;
    std::poisson_distribution<int> count(std::max(expected, 1e-9));
    for (int left = count(m_random); left > 0; --left)
        submitJob();
    m_time.after(Step, [this] { submitArrivals(); });
}

void LoadedCell::submitJob()
{
    constexpr std::uint64_t Scatter = 0x9E3779B97F4A7C15ULL;
    const JobId id(absl::StrCat(absl::Hex((m_jobs.size() + 1) * Scatter, absl::kZeroPad16)));
    m_jobs.emplace(id, Job{m_time.now(), {}});
    m_openJobs.insert(id);
    m_tasksAccepted += TasksPerJob;
    StepSpec step;
    step.count = TasksPerJob;
    step.perTask.cores = MilliCores(TaskMillicores);
    step.perTask.memory = Mebibytes(100);
    step.estimate = Milliseconds(LongTaskDuration.count());
    JobSpec spec;
    spec.steps = {step};
    postToControl(CallCost, [this, id, spec] {
        m_leader.receive(timeOf(m_time), Wall, {HostId("self"), ExchangeId(1)},
                         JobCall{JobVerb::Submit, "h", "/q/" + id.value(), ApiKey("key"), spec, {}},
                         m_out);
    });
}

double LoadedCell::ratioServedWithin(milliseconds span, VirtualTime::Span since) const
{
    std::size_t submitted = 0;
    std::size_t served = 0;
    for (const auto &[id, job] : m_jobs) {
        if (job.acceptedAt < since)
            continue;
        ++submitted;
        served += job.completedAt.has_value() && *job.completedAt - job.acceptedAt <= span ? 1 : 0;
    }
    return double(served) / double(submitted);
}

} // namespace gentiancross::tests
