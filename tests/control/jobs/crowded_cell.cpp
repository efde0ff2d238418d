#include "tests/control/jobs/crowded_cell.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace gentiancross::tests {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds TickInterval{50};
constexpr milliseconds HeartbeatInterval{1500};
constexpr milliseconds NetworkDelay{1};
constexpr Milliseconds Wall{1'000'000'000};
constexpr Milliseconds TicketValidity{2000};
constexpr AdviceTerms ShortAdvice{26'000, 380, TicketValidity};
constexpr AdviceTerms LongAdvice{450'000, 6'500, TicketValidity};
/** The first run of the first long-running task; each further task's lasts longer. */
constexpr milliseconds FirstRunDuration{5000};
constexpr milliseconds FirstRunDifference{700};
constexpr seconds LaterRunDuration{3600};
const JobId longRunningJob("00000000000000aa");

QueueConfig makeQueue(const std::string &name, std::int64_t priority, const AdviceTerms &advice)
{
    QueueConfig queue;
    queue.queue = QueueId(name);
    queue.host = std::string("h"); // GCC 12 warns of a literal here.
    queue.pathPrefix = absl::StrCat("/", name, "/");
    queue.timeout = Milliseconds(3000);
    queue.allowance = Milliseconds(250);
    queue.priority = priority;
    queue.pool = PoolId("pool");
    queue.maxAttempts = 3;
    queue.stretchPermille = 1500;
    queue.advice = advice;
    return queue;
}

ConfigDocument makeDocument()
{
    ConfigDocument document;
    document.version = DocumentVersion(1);
    document.queues = {makeQueue("short", 0, ShortAdvice), makeQueue("lasting", 1, LongAdvice)};
    document.pools = {{PoolId("pool"), false}};
    document.teams = {{TeamId("alpha"), {ApiKey("key")}, 1, {}}};
    return document;
}

} // namespace

CrowdedCell::CrowdedCell(const CrowdedCellOptions &options)
    : m_options(options)
    , m_random(options.seed)
    , m_leader(timeOf(m_time), {HostId("self"), Fence(5), "self:1"}, {})
{
    m_leader.receive(timeOf(m_time), Wall, {HostId("self"), ExchangeId(1)},
                     PutConfiguration{makeDocument(), {}}, m_out);
    addWorkers();
    submitLongRunningJob();
    tick();
    submitArrivals();
}

void CrowdedCell::addWorkers()
{
    for (int index = 0; index < m_options.workers; ++index) {
        WorkerReport report;
        report.incarnation = {WorkerId(absl::StrCat("w", index)), Milliseconds(1)};
        report.pool = PoolId("pool");
        report.address = absl::StrCat("10.0.0.1:", index);
        report.capacity.cores = WorkerCores;
        report.capacity.memory = Mebibytes(1'000'000);
        const WorkerIncarnation incarnation = report.incarnation;
        m_workers.emplace(incarnation,
                          LeasedWorker(report, m_time, m_witness, [this](const JobTaskRef &task) {
                              return recordStart(task);
                          }));
        sendHeartbeat(incarnation);
    }
}

void CrowdedCell::submitLongRunningJob()
{
    StepSpec step;
    step.count = m_options.longRunningTasks;
    step.perTask.cores = m_options.longRunningCores;
    step.perTask.memory = Mebibytes(100);
    step.isLongRunning = true;
    submit("/lasting/" + longRunningJob.value(), step);
}

void CrowdedCell::submitArrivals()
{
    constexpr milliseconds Step{5};
    const double expected = m_jobsPerSecond * double(Step.count()) / 1000.0;
    std::poisson_distribution<int> count(std::max(expected, 1e-9));
    for (int left = count(m_random); left > 0; --left)
        submitShortJob();
    m_time.after(Step, [this] { submitArrivals(); });
}

void CrowdedCell::submitShortJob()
{
    constexpr std::uint64_t Scatter = 0x9E3779B97F4A7C15ULL;
    StepSpec step;
    step.count = 1;
    step.perTask.cores = ShortTaskCores;
    step.perTask.memory = Mebibytes(100);
    step.estimate = Milliseconds(ShortTaskDuration.count());
    submit(absl::StrCat("/short/", absl::Hex(++m_shortJobs * Scatter, absl::kZeroPad16)), step);
}

void CrowdedCell::submit(const std::string &path, StepSpec step)
{
    JobSpec spec;
    spec.steps = {std::move(step)};
    m_leader.receive(timeOf(m_time), Wall, {HostId("self"), ExchangeId(1)},
                     JobCall{JobVerb::Submit, "h", path, ApiKey("key"), spec, {}}, m_out);
    processDecisions();
}

void CrowdedCell::sendHeartbeat(const WorkerIncarnation &incarnation)
{
    m_leader.receive(timeOf(m_time), Wall, {HostId("self"), ExchangeId(1)},
                     CellCall(m_workers.at(incarnation).makeHeartbeat()), m_out);
    processDecisions();
    m_time.after(HeartbeatInterval, [this, incarnation] { sendHeartbeat(incarnation); });
}

void CrowdedCell::tick()
{
    m_leader.tick(timeOf(m_time), Wall, m_out);
    processDecisions();
    m_time.after(TickInterval, [this] { tick(); });
}

void CrowdedCell::run(seconds span, double jobsPerSecond)
{
    m_jobsPerSecond = jobsPerSecond;
    m_time.run(span);
}

void CrowdedCell::processDecisions()
{
    m_leader.startReady(timeOf(m_time), m_out);
    while (m_leader.hasDecisions()) {
        m_leader.carryOut(timeOf(m_time), m_leader.takeDecisions(), m_out);
        m_leader.startReady(timeOf(m_time), m_out);
    }
    for (const Effect &effect : m_out.take()) {
        if (const auto *call = std::get_if<CallWorker>(&effect))
            carryOut(*call);
        else if (const auto *request = std::get_if<AdviceRequest>(&effect))
            carryOut(*request);
    }
}

void CrowdedCell::carryOut(const CallWorker &call)
{
    m_time.after(NetworkDelay, [this, call] {
        m_workers.at(call.incarnation).receive(call, [this](const WorkerAnswer &answer) {
            m_time.after(NetworkDelay, [this, answer] {
                m_leader.receive(timeOf(m_time), answer, m_out);
                processDecisions();
            });
        });
    });
}

void CrowdedCell::carryOut(const AdviceRequest &request)
{
    const bool isLong = request.step.job == longRunningJob;
    const AdviceTerms terms = isLong ? LongAdvice : ShortAdvice;
    AdviceResponse response{request.id, true, {}, TicketValidity};
    for (const WorkerId &worker : request.workers)
        response.good.push_back({worker, "ticket"});
    const microseconds delay(terms.baseMicroseconds
                             + terms.perWorkerMicroseconds * std::int64_t(request.workers.size()));
    m_time.after(delay, [this, response] {
        m_leader.receive(timeOf(m_time), response, m_out);
        processDecisions();
    });
}

LeasedWorker::RunCourse CrowdedCell::recordStart(const JobTaskRef &task)
{
    if (task.step.job != longRunningJob) {
        std::uniform_int_distribution<std::int64_t> percent(50, 150);
        return {ShortTaskDuration * percent(m_random) / 100};
    }
    LongRunningTask &record = m_longRunning[task];
    if (record.starts > 0)
        record.longestDowntime = std::max(record.longestDowntime, m_time.now() - record.endsAt);
    const VirtualTime::Span duration = record.starts == 0
            ? FirstRunDuration + FirstRunDifference * std::int64_t(task.index)
            : VirtualTime::Span(LaterRunDuration);
    ++record.starts;
    record.endsAt = m_time.now() + duration;
    return {duration, RunEnding::Failed};
}

std::size_t CrowdedCell::shortTasksDone() const
{
    return m_witness.tasksDone();
}

std::size_t CrowdedCell::restarts() const
{
    return std::size_t(std::count_if(m_longRunning.begin(), m_longRunning.end(),
                                     [](const auto &entry) { return entry.second.starts > 1; }));
}

milliseconds CrowdedCell::longestDowntime() const
{
    VirtualTime::Span longest{0};
    for (const auto &[task, record] : m_longRunning)
        longest = std::max({longest, record.longestDowntime, m_time.now() - record.endsAt});
    return std::chrono::duration_cast<milliseconds>(longest);
}

} // namespace gentiancross::tests
