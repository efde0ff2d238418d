#include "tests/control/jobs/leader_bench.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace gentiancross;
using namespace gentiancross::tests;

namespace {

constexpr AdviceTerms Advice{26'000, 380, Milliseconds(2000)};
constexpr int Workers = 6;
const std::string backlogJob = "00000000000000a1";
const std::string smallJob = "00000000000000b1";

/** Approves all workers of each query so far, and returns the jobs that were asked about. */
std::set<JobId> approveAll(LeaderBench &bench)
{
    std::set<JobId> jobs;
    for (const AdviceRequest &request : bench.takeAdviceRequests()) {
        jobs.insert(request.step.job);
        AdviceResponse response{request.id, true, {}, Advice.validity};
        for (const WorkerId &worker : request.workers)
            response.good.push_back({worker, "ticket"});
        bench.receiveAdvice(response);
    }
    return jobs;
}

bool hasStartOf(const std::string &job, const std::vector<CallWorker> &starts)
{
    return std::any_of(starts.begin(), starts.end(), [&](const CallWorker &start) {
        return std::get<OrderStart>(start.order).task.step.job == JobId(job);
    });
}

/**
 * A cell whose queues require advice: an urgent one, "checks", and one of lower priority, "later".
 * Team "alpha" may have \a cap running, team "beta" has no cap. The workers have 1,000 thousandths
 * of a core each; one of them has an accelerator and the label "fast".
 */
class AdvisedCell
{
public:
    explicit AdvisedCell(const Resources &cap = {})
    {
        ConfigDocument document = makeDocument(cap, Advice);
        QueueConfig later = document.queues[0];
        later.queue = QueueId("later");
        later.pathPrefix = "/later/";
        later.priority = 1;
        document.queues.push_back(later);
        QueueConfig elsewhere = document.queues[0];
        elsewhere.queue = QueueId("elsewhere");
        elsewhere.pathPrefix = "/elsewhere/";
        elsewhere.pool = PoolId("empty");
        document.queues.push_back(elsewhere);
        document.pools.push_back({PoolId("empty"), false});
        document.teams.push_back({TeamId("beta"), {ApiKey("key-of-beta")}, 1, {}});
        m_bench.configure(document);
        m_bench.advance(8000);
        sendHeartbeats();
    }

    void submit(const std::string &path, const StepSpec &step, const std::string &key)
    {
        JobSpec spec;
        spec.steps = {step};
        m_bench.call(JobCall{JobVerb::Submit, "h", path, ApiKey(key), spec, {}});
    }
    /** Submits the job of a team without a cap that is to start on free capacity. */
    void submitSmallJob() { submit("/later/" + smallJob, makeStep(1, 400), "key-of-beta"); }

    /** Runs a long-running task on each worker. */
    void startLongRunningEverywhere(std::int64_t millicores)
    {
        StepSpec step = makeStep(Workers, millicores);
        step.isLongRunning = true;
        step.maxPerWorker = 1;
        submit("/q/00000000000000c1", step, "key-of-beta");
        approveAll(m_bench);
        const std::vector<CallWorker> starts = m_bench.takeStarts();
        REQUIRE(starts.size() == Workers);
        for (const CallWorker &start : starts)
            m_bench.answer(start, WorkerVerdict::Done);
    }

    /** Runs for two seconds with an adviser that approves all; true if the small job starts. */
    bool startsSmallJob()
    {
        bool hasStarted = false;
        for (int step = 0; step < 20; ++step) {
            m_bench.advance(100);
            sendHeartbeats();
            approveAll(m_bench);
            const std::vector<CallWorker> starts = m_bench.takeStarts();
            hasStarted = hasStarted || hasStartOf(smallJob, starts);
            for (const CallWorker &start : starts)
                m_bench.answer(start, WorkerVerdict::Done);
        }
        return hasStarted;
    }

    LeaderBench &bench() { return m_bench; }

private:
    void sendHeartbeats()
    {
        for (int number = 0; number < Workers; ++number) {
            WorkerHeartbeat heartbeat = m_bench.makeHeartbeat("w" + std::to_string(number));
            if (number == 0) {
                heartbeat.report.capacity.accelerators = Accelerators(1);
                heartbeat.report.labels = {"fast"};
            }
            m_bench.call(heartbeat);
        }
    }

    LeaderBench m_bench;
};

/** Counts how often a worker is rated for a task. */
class CountingCostPolicy final : public WorkerCostPolicy
{
public:
    explicit CountingCostPolicy(std::size_t &count)
        : m_count(count)
    {}

    [[nodiscard]] std::int64_t cost(const PooledWorker &, const StepSpec &) const override
    {
        ++m_count;
        return 0;
    }

private:
    std::size_t &m_count;
};

/** Counts the starts that are decided, and decides nothing else. */
class StartCounter final : public StartHandler
{
public:
    void onStartDecided(const JobTaskRef &, RunNumber, const WorkerIncarnation &) override
    {
        ++count;
    }

    void onEvictionDecided(const Eviction &) override {}

    std::size_t count = 0;
};

Resources cores(std::int64_t value)
{
    Resources resources;
    resources.cores = MilliCores(value);
    return resources;
}

/** A planner whose admission limit is reached, and one step that waits for it. Each of the 40
 * workers has room for one of its tasks. */
class PlannerBench
{
public:
    PlannerBench(const std::string &job, const StepSpec &step)
        : m_planner(m_data, m_pool, m_advice, m_admission, std::make_unique<PackingCostPolicy>(),
                    std::make_unique<DeadlineStepOrder>())
    {
        m_data.document = makeDocument({}, Advice);
        m_admission.onStartOrdered(m_now, CallId(1));
        for (int number = 0; number < 40; ++number) {
            WorkerReport report;
            report.incarnation = makeIncarnation("w" + std::to_string(number));
            report.pool = PoolId("pool");
            report.capacity = cores(200);
            report.capacity.memory = Mebibytes(1000);
            WorkerPool::setClock(m_pool.addOrUpdate(m_now, report), m_now, 1);
        }
        JobAccepted record = makeJob(job, {step});
        record.terms.advice = Advice;
        jobstore::apply(m_data, record, nullptr);
        m_planner.jobChanged(m_now, record.id, m_data.jobs.at(record.id));
    }

    /** Plans after a change, and returns the requests for advice that this caused. */
    std::vector<AdviceRequest> plan()
    {
        m_planner.markChanged();
        m_planner.plan(m_now, m_starts, m_out);
        std::vector<AdviceRequest> requests;
        for (const Effect &effect : m_out.take()) {
            if (const auto *request = std::get_if<AdviceRequest>(&effect))
                requests.push_back(*request);
        }
        return requests;
    }
    /** Answers the request: the first \a count workers get a ticket. */
    void approve(std::uint64_t request, int count)
    {
        AdviceResponse response{AdviceRequestId(request), true, {}, Advice.validity};
        for (int number = 0; number < count; ++number)
            response.good.push_back({WorkerId("w" + std::to_string(number)), "ticket"});
        m_advice.receive(m_now, response, m_out);
    }
    /** Reserves all capacity of the worker. */
    void fill(const std::string &worker)
    {
        m_pool.find(makeIncarnation(worker))->reserved = cores(200);
    }
    void expireTickets()
    {
        m_now = m_now + Advice.validity;
        m_admission.onStartOrdered(m_now, CallId(2));
    }
    /** Lets time pass while the admission limit stays reached. */
    void advance(Milliseconds span)
    {
        m_now = m_now + span;
        m_admission.onStartOrdered(m_now, CallId(3));
    }
    [[nodiscard]] std::size_t starts() const { return m_starts.count; }

private:
    Instant m_now{100'000};
    JobStoreData m_data;
    WorkerPool m_pool{Instant()};
    AdviceCoordinator m_advice{HostId("self")};
    DelayAdmission m_admission{{.initialLimit = 1}};
    StartPlanner m_planner;
    StartCounter m_starts;
    Outbox m_out{false};
};

} // namespace

// Guards against accepted jobs that don't start on free capacity, because tasks that can't use it
// wait ahead of them and take up the number of steps for which advice is requested.
TEST_CASE("Waiting tasks that can't use the free capacity delay no other job")
{
    AdvisedCell cell(cores(600));
    SECTION("Their team is at its cap")
    {
        cell.submit("/q/" + backlogJob, makeStep(100, 300), "key-of-alpha");
    }
    SECTION("They fit on no worker")
    {
        cell.submit("/q/" + backlogJob, makeStep(100, 1200), "key-of-beta");
    }
    SECTION("No worker has their label")
    {
        StepSpec step = makeStep(100, 300);
        step.requiredLabel = "slow";
        cell.submit("/q/" + backlogJob, step, "key-of-beta");
    }
    SECTION("Few workers have their label")
    {
        StepSpec step = makeStep(100, 300);
        step.requiredLabel = "fast";
        cell.submit("/q/" + backlogJob, step, "key-of-beta");
    }
    SECTION("They wait for accelerators")
    {
        StepSpec step = makeStep(100, 100);
        step.perTask.accelerators = Accelerators(1);
        cell.submit("/q/" + backlogJob, step, "key-of-beta");
    }
    SECTION("They are confined to one per worker")
    {
        StepSpec step = makeStep(100, 100);
        step.maxPerWorker = 1;
        cell.submit("/q/" + backlogJob, step, "key-of-beta");
    }
    SECTION("They are a gang that the workers can't hold at once")
    {
        StepSpec step = makeStep(7, 1000);
        step.isGang = true;
        cell.submit("/q/" + backlogJob, step, "key-of-beta");
    }
    SECTION("They fit on no worker beside its long-running task")
    {
        cell.startLongRunningEverywhere(500);
        cell.submit("/q/" + backlogJob, makeStep(12, 600), "key-of-beta");
    }
    SECTION("They are long-running and fit on no worker beside its long-running task")
    {
        cell.startLongRunningEverywhere(500);
        StepSpec step = makeStep(12, 600);
        step.isLongRunning = true;
        cell.submit("/q/" + backlogJob, step, "key-of-beta");
    }
    SECTION("They are a gang that fits on no workers beside their long-running tasks")
    {
        cell.startLongRunningEverywhere(500);
        StepSpec step = makeStep(11, 500);
        step.isGang = true;
        cell.submit("/q/" + backlogJob, step, "key-of-beta");
    }
    SECTION("Their pool has no workers")
    {
        cell.submit("/elsewhere/" + backlogJob, makeStep(100, 300), "key-of-beta");
    }
    cell.submitSmallJob();
    CHECK(cell.startsSmallJob());
}

// Guards against the same within one team: what can't run beside its long-running tasks used up the
// cap for its other jobs.
TEST_CASE("Waiting tasks that exceed what long-running tasks leave of the cap delay no other job")
{
    AdvisedCell cell(cores(2000));
    StepSpec lasting = makeStep(3, 400);
    lasting.isLongRunning = true;
    cell.submit("/q/00000000000000c1", lasting, "key-of-alpha");
    approveAll(cell.bench());
    for (const CallWorker &start : cell.bench().takeStarts())
        cell.bench().answer(start, WorkerVerdict::Done);
    cell.submit("/q/" + backlogJob, makeStep(4, 900), "key-of-alpha");
    cell.submit("/later/" + smallJob, makeStep(1, 400), "key-of-alpha");
    CHECK(cell.startsSmallJob());
}

// Guards against an adviser that is busy with steps whose tickets expire before they can start.
TEST_CASE("Advice is requested only for as many steps as may start soon")
{
    constexpr std::uint64_t Jobs = 40;
    constexpr std::uint64_t FirstJob = 0xa000000000000000;
    const auto submitJobs = [&](AdvisedCell &cell, const std::string &key) {
        for (std::uint64_t number = 0; number < Jobs; ++number)
            cell.submit("/q/" + absl::StrCat(absl::Hex(FirstJob + number)), makeStep(3, 200), key);
    };
    SECTION("The workers are in use")
    {
        AdvisedCell cell;
        submitJobs(cell, "key-of-beta");
        // 6,000 thousandths of a core are free, and a quarter more is expected to become free.
        CHECK(approveAll(cell.bench()).size() == 13);
    }
    SECTION("The team is at its cap")
    {
        AdvisedCell cell(cores(1200));
        submitJobs(cell, "key-of-alpha");
        CHECK(approveAll(cell.bench()).size() == 3);
    }
}

// Guards against a gang that waits for room and occupies the control thread in each plan: its
// members were placed one by one, on each rack and on all workers, until there was no room left.
TEST_CASE("A gang for which there is no room costs no more than one look at each worker")
{
    constexpr Instant Now{100'000};
    constexpr std::uint32_t Members = 1000;
    constexpr std::int64_t WorkerCount = 40;
    StepSpec step = makeStep(Members, 200);
    step.isGang = true;
    step.prefersOneRack = GENERATE(false, true);
    std::size_t ratings = 0;
    JobStoreData data;
    data.document = makeDocument();
    WorkerPool pool{Instant()};
    AdviceCoordinator advice(HostId("self"));
    DelayAdmission admission({.initialLimit = Members});
    StartPlanner planner(data, pool, advice, admission,
                         std::make_unique<CountingCostPolicy>(ratings),
                         std::make_unique<DeadlineStepOrder>());
    const auto addWorkers = [&](std::int64_t millicores) {
        for (std::int64_t number = 0; number < WorkerCount; ++number) {
            WorkerReport report;
            report.incarnation = makeIncarnation("w" + std::to_string(number));
            report.pool = PoolId("pool");
            report.rack = RackId("r" + std::to_string(number % 4));
            report.capacity = cores(millicores);
            report.capacity.memory = Mebibytes(1'000'000);
            WorkerPool::setClock(pool.addOrUpdate(Now, report), Now, 1);
        }
    };
    // Room for all members but one worker's share.
    addWorkers(4800);
    const JobAccepted record = makeJob("00000000000000aa", {step});
    jobstore::apply(data, record, nullptr);
    planner.jobChanged(Now, record.id, data.jobs.at(record.id));
    Outbox out(false);
    StartCounter starts;
    planner.plan(Now, starts, out);
    CHECK(ratings == 0);
    CHECK(starts.count == 0);
    addWorkers(5000);
    planner.markChanged();
    planner.plan(Now, starts, out);
    CHECK(starts.count == Members);
}

// Guards against an overload that outlasts its cause: steps that waited for the limit of concurrent
// starts requested advice again and again, which took the control thread's time from the starts.
TEST_CASE("A step with enough tickets that is held back requests no further advice")
{
    constexpr std::uint32_t Tasks = 3;
    const std::string job = "00000000000000aa";
    StepSpec step = makeStep(Tasks, 200);
    step.isGang = GENERATE(false, true);
    PlannerBench bench(job, step);
    REQUIRE(bench.plan().size() == 1);
    SECTION("The tickets suffice")
    {
        bench.approve(1, 3);
        CHECK(bench.plan().empty());
        CHECK(bench.starts() == 0);
    }
    SECTION("The tickets have expired")
    {
        bench.approve(1, 3);
        bench.expireTickets();
        CHECK(bench.plan().size() == 1);
    }
    SECTION("Too few workers have been approved")
    {
        bench.approve(1, 2);
        CHECK(bench.plan().size() == 1);
    }
    SECTION("A worker with a ticket has no room left")
    {
        bench.approve(1, 3);
        bench.fill("w0");
        CHECK(bench.plan().size() == 1);
    }
}

// Guards against an adviser that is asked again and again about a step, which has tickets for
// enough workers and waits until their runs end: three calls for each step that was started.
TEST_CASE("A step with tickets for enough workers waits before it requests further advice")
{
    constexpr int Approved = 10;
    PlannerBench bench("00000000000000aa", makeStep(2, 200));
    REQUIRE(bench.plan().size() == 1);
    bench.approve(1, Approved);
    for (int number = 0; number < Approved; ++number)
        bench.fill("w" + std::to_string(number));
    bench.fill("w20");
    CHECK(bench.plan().empty());
    // Room elsewhere must not stay idle for long.
    bench.advance(Milliseconds(600));
    const std::vector<AdviceRequest> requests = bench.plan();
    REQUIRE(requests.size() == 1);
    const std::vector<WorkerId> &asked = requests[0].workers;
    CHECK_FALSE(asked.empty());
    CHECK(std::find(asked.begin(), asked.end(), WorkerId("w20")) == asked.end());
    CHECK(std::find(asked.begin(), asked.end(), WorkerId("w0")) == asked.end());
}
