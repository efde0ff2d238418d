#include "control/jobs/ready_queue.h"
#include "tests/control/jobs/leader_bench.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace gentiancross;
using namespace gentiancross::tests;

namespace {

constexpr Instant Start{100'000};
constexpr std::uint32_t Steps = 800;
const JobId job("00000000000000aa");

/** Counts how often a step is ranked. */
class CountingStepOrder final : public StepOrder
{
public:
    explicit CountingStepOrder(std::size_t &count)
        : m_count(count)
    {}

    [[nodiscard]] ReadyStep rank(Instant now, const StepRef &step, WaitReason reason,
                                 const Job &job, const StepTiming &timing) const override
    {
        ++m_count;
        return m_order.rank(now, step, reason, job, timing);
    }

private:
    DeadlineStepOrder m_order;
    std::size_t &m_count;
};

/** Passes the changes of jobs on to a queue. */
class QueueUpdater final : public JobStoreObserver
{
public:
    explicit QueueUpdater(ReadyQueue &queue)
        : m_queue(queue)
    {}

    void onRunOpened(const JobTaskRef &, const Job &, const TaskProgress &) override {}
    void onRunClosed(const JobTaskRef &, const Job &, const TaskProgress &) override {}
    void onJobChanged(const JobId &id, const Job &job) override
    {
        m_queue.updateJob(Start, id, job);
    }
    void onStepChanged(const StepRef &step, const Job &job) override
    {
        m_queue.updateStep(Start, step, job);
    }

private:
    ReadyQueue &m_queue;
};

/** Runs a job with one task per step to its end; returns how often a step was ranked. */
std::size_t countRanks(const std::vector<StepSpec> &steps)
{
    std::size_t count = 0;
    ReadyQueue queue(std::make_unique<CountingStepOrder>(count));
    QueueUpdater updater(queue);
    JobStoreData data;
    jobstore::apply(data, makeJob(job.value(), steps), &updater);
    for (std::uint32_t step = 0; step < steps.size(); ++step) {
        const JobTaskRef task = makeTask(job.value(), step, 0);
        REQUIRE(std::any_of(queue.steps().begin(), queue.steps().end(),
                            [&](const ReadyStep &ready) { return ready.step == task.step; }));
        jobstore::apply(data, RunOrdered{task, RunNumber(1), makeIncarnation("w")}, &updater);
        queue.updateStep(Start, task.step, data.jobs.at(job));
        jobstore::apply(data, RunEnded{task, RunNumber(1), RunEnding::Done, {}}, &updater);
    }
    CHECK(data.jobs.at(job).state == JobState::Completed);
    CHECK(queue.steps().empty());
    return count;
}

} // namespace

// Guards against a job of many steps that occupies the control thread, so that the leader serves
// nobody and loses its leadership: each change of a step ranked all steps of its job.
TEST_CASE("The work for a job of many steps grows in proportion to its steps")
{
    std::vector<StepSpec> steps;
    SECTION("Steps that wait for none")
    {
        steps.assign(Steps, makeStep(1, 100));
    }
    SECTION("Steps that wait for the one before")
    {
        for (std::uint32_t step = 0; step < Steps; ++step)
            steps.push_back(step == 0 ? makeStep(1, 100) : makeStep(1, 100, {step - 1}));
    }
    CHECK(countRanks(steps) == Steps);
}

TEST_CASE("Only steps whose latest start has passed are ranked again as time passes")
{
    std::size_t count = 0;
    ReadyQueue queue(std::make_unique<CountingStepOrder>(count));
    QueueUpdater updater(queue);
    JobStoreData data;
    std::vector<StepSpec> steps(Steps, makeStep(1, 100));
    steps[0].estimate = Milliseconds(5000);
    jobstore::apply(data, makeJob(job.value(), steps), &updater);
    CHECK(count == Steps);
    // The objective is the time of the longest step, so that one is late at once.
    queue.updateRanks(Start + Milliseconds(1), data);
    CHECK(count == Steps + 1);
    const auto late = std::find_if(queue.steps().begin(), queue.steps().end(),
                                   [](const ReadyStep &ready) { return ready.step.step == 0; });
    REQUIRE(late != queue.steps().end());
    CHECK(late->lateness == Lateness::Late);
}

// Guards against the same failure in the whole leader.
TEST_CASE("A job of many steps runs to its end, and urgent jobs of other teams start meanwhile")
{
    const std::string urgent = "00000000000000bb";
    LeaderBench bench;
    bench.configure();
    bench.advance(8000);
    bench.sendHeartbeat("w");
    bench.submit(job.value(), std::vector<StepSpec>(Steps, makeStep(1, 10)));
    bench.submit(urgent, {makeStep(1, 10)});
    std::vector<JobTaskRef> running;
    std::uint64_t ends = 0;
    bool hasStartedUrgent = false;
    for (int round = 0; round < 40; ++round) {
        bench.sendHeartbeat("w");
        for (const CallWorker &start : bench.takeStarts()) {
            const JobTaskRef &task = std::get<OrderStart>(start.order).task;
            hasStartedUrgent = hasStartedUrgent || task.step.job == JobId(urgent);
            running.push_back(task);
            bench.answer(start, WorkerVerdict::Done);
        }
        std::vector<ReportedCompletion> ended;
        for (const JobTaskRef &task : std::exchange(running, {}))
            ended.push_back({CompletionNumber(++ends), task, RunNumber(1), RunEnding::Done, {}});
        bench.answerLeaseRenewal("w", {}, std::move(ended));
    }
    CHECK(hasStartedUrgent);
    CHECK(std::get<JobStateReport>(bench.queryJob(job.value())).state == JobState::Completed);
}
