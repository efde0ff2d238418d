#include "tests/control/jobs/job_fixture.h"

#include <catch2/catch.hpp>

using namespace gentiancross;
using namespace gentiancross::tests;

namespace {

/** Counts the runs that take capacity. */
class OpenRunCounter final : public JobStoreObserver
{
public:
    void onRunOpened(const JobTaskRef &, const Job &, const TaskProgress &) override { ++count; }
    void onRunClosed(const JobTaskRef &, const Job &, const TaskProgress &) override { --count; }
    void onJobChanged(const JobId &, const Job &) override {}
    void onStepChanged(const StepRef &, const Job &) override {}

    int count = 0;
};

struct StoreBench
{
    void apply(const JobRecord &record) { jobstore::apply(data, record, &runs); }
    void order(const JobTaskRef &task, std::uint64_t run, const WorkerIncarnation &incarnation)
    {
        apply(RunOrdered{task, RunNumber(run), incarnation});
    }
    void end(const JobTaskRef &task, std::uint64_t run, RunEnding ending,
             const std::string &checkpoint = {})
    {
        apply(RunEnded{task, RunNumber(run), ending, checkpoint});
    }
    [[nodiscard]] const TaskProgress &task(const JobTaskRef &ref) const
    {
        return *jobstore::find(data, ref);
    }
    [[nodiscard]] JobState state(const std::string &id) const
    {
        return data.jobs.at(JobId(id)).state;
    }

    JobStoreData data;
    OpenRunCounter runs;
};

} // namespace

TEST_CASE("A job is completed when every task of every step is done")
{
    StoreBench store;
    store.apply(makeJob("a", {makeStep(2, 100), makeStep(1, 100, {0})}));
    CHECK(store.state("a") == JobState::Queued);
    store.order(makeTask("a", 0, 0), 1, makeIncarnation("w"));
    store.order(makeTask("a", 0, 1), 1, makeIncarnation("w"));
    CHECK(store.state("a") == JobState::Running);
    store.end(makeTask("a", 0, 0), 1, RunEnding::Done);
    const Job &job = store.data.jobs.at(JobId("a"));
    CHECK_FALSE(jobstore::isStepReady(job, job.occurrences.at(0), 1));
    store.end(makeTask("a", 0, 1), 1, RunEnding::Done);
    CHECK(jobstore::isStepReady(job, job.occurrences.at(0), 1));
    store.order(makeTask("a", 1, 0), 1, makeIncarnation("w"));
    CHECK(store.state("a") == JobState::Running);
    store.end(makeTask("a", 1, 0), 1, RunEnding::Done);
    CHECK(store.state("a") == JobState::Completed);
    CHECK(store.runs.count == 0);
}

TEST_CASE("A late end of an earlier run does not free the capacity of the later run")
{
    // A zone is cut off, its leases lapse and its tasks are started on other workers. After the
    // partition the first worker still lists its run as done.
    StoreBench store;
    store.apply(makeJob("a", {makeStep(1, 100)}));
    const JobTaskRef task = makeTask("a", 0, 0);
    store.order(task, 1, makeIncarnation("cut-off"));
    store.end(task, 1, RunEnding::Lapsed);
    store.order(task, 2, makeIncarnation("other"));
    REQUIRE(store.runs.count == 1);
    store.end(task, 1, RunEnding::Done);
    CHECK(store.state("a") == JobState::Completed);
    CHECK(store.runs.count == 1);
    CHECK(store.task(task).mayStillRun);
    store.end(task, 2, RunEnding::Stopped);
    CHECK(store.runs.count == 0);
}

TEST_CASE("A failed run of a task that is done does not fail its job")
{
    StoreBench store;
    store.apply(makeJob("a", {makeStep(2, 100)}, 1));
    const JobTaskRef task = makeTask("a", 0, 0);
    store.order(task, 1, makeIncarnation("cut-off"));
    store.end(task, 1, RunEnding::Lapsed);
    store.order(task, 2, makeIncarnation("other"));
    store.end(task, 1, RunEnding::Done);
    store.end(task, 2, RunEnding::Failed);
    CHECK(store.state("a") == JobState::Running);
    CHECK(store.runs.count == 0);
}

TEST_CASE("Only failed runs count as attempts")
{
    StoreBench store;
    store.apply(makeJob("a", {makeStep(1, 100)}, 2));
    const JobTaskRef task = makeTask("a", 0, 0);
    std::uint64_t run = 0;
    for (const RunEnding ending : {RunEnding::Stopped, RunEnding::Lost, RunEnding::Lapsed,
                                   RunEnding::NotStarted, RunEnding::Failed}) {
        store.order(task, ++run, makeIncarnation("w"));
        store.end(task, run, ending);
        CHECK(store.state("a") == JobState::Running);
    }
    store.order(task, ++run, makeIncarnation("w"));
    store.end(task, run, RunEnding::Failed);
    CHECK(store.state("a") == JobState::Failed);
    // The next leader gets the same end again.
    store.end(task, run, RunEnding::Failed);
    CHECK(store.task(task).failures == 2);
}

TEST_CASE("A long-running task has no limit of attempts and is never done")
{
    StoreBench store;
    StepSpec step = makeStep(1, 100);
    step.isLongRunning = true;
    store.apply(makeJob("a", {step}, 1));
    const JobTaskRef task = makeTask("a", 0, 0);
    for (std::uint64_t run = 1; run <= 5; ++run) {
        store.order(task, run, makeIncarnation("w"));
        store.end(task, run, run % 2 == 0 ? RunEnding::Failed : RunEnding::Done);
        CHECK(store.state("a") == JobState::Running);
        CHECK_FALSE(store.task(task).mayStillRun);
        CHECK_FALSE(store.task(task).isDone);
    }
}

TEST_CASE("One member's end, failure and checkpoint count for the whole gang, and failures once")
{
    StoreBench store;
    StepSpec step = makeStep(3, 100);
    step.isGang = true;
    store.apply(makeJob("a", {step}, 2));
    for (std::uint32_t index = 0; index < 3; ++index)
        store.order(makeTask("a", 0, index), 1, makeIncarnation("w"));
    store.end(makeTask("a", 0, 1), 1, RunEnding::Failed, "saved");
    store.end(makeTask("a", 0, 0), 1, RunEnding::GangBroken);
    store.end(makeTask("a", 0, 2), 1, RunEnding::GangBroken);
    CHECK(store.state("a") == JobState::Running);
    for (std::uint32_t index = 0; index < 3; ++index) {
        CHECK(store.task(makeTask("a", 0, index)).checkpoint == "saved");
        store.order(makeTask("a", 0, index), 2, makeIncarnation("w"));
    }
    store.end(makeTask("a", 0, 2), 2, RunEnding::Done);
    CHECK(store.state("a") == JobState::Completed);
    CHECK(store.runs.count == 0);
}

// Guards against a gang that is shown as failed after one run, because its worker failed several
// members in that run.
TEST_CASE("A run of a gang counts as one failure, whichever and however many members fail")
{
    StoreBench store;
    StepSpec step = makeStep(3, 100);
    step.isGang = true;
    constexpr std::uint32_t MaxAttempts = 3;
    store.apply(makeJob("a", {step}, MaxAttempts));
    const std::vector<std::vector<std::uint32_t>> failing = {{0, 1, 2}, {2, 1}, {0, 2}};
    for (std::uint64_t run = 1; run <= failing.size(); ++run) {
        CHECK(store.state("a") != JobState::Failed);
        for (std::uint32_t index = 0; index < step.count; ++index)
            store.order(makeTask("a", 0, index), run, makeIncarnation("w"));
        for (const std::uint32_t index : failing[run - 1])
            store.end(makeTask("a", 0, index), run, RunEnding::Failed);
        for (std::uint32_t index = 0; index < step.count; ++index)
            store.end(makeTask("a", 0, index), run, RunEnding::GangBroken);
    }
    CHECK(store.state("a") == JobState::Failed);
}

TEST_CASE("The highest configuration version is kept, and a job is accepted once")
{
    StoreBench store;
    ConfigDocument document;
    document.version = DocumentVersion(7);
    document.source = "seven";
    store.apply(DocumentAccepted{document});
    document.source = "another seven";
    store.apply(DocumentAccepted{document});
    document.version = DocumentVersion(3);
    store.apply(DocumentAccepted{document});
    CHECK(store.data.document->source == "seven");
    store.apply(makeJob("a", {makeStep(1, 100)}));
    store.order(makeTask("a", 0, 0), 1, makeIncarnation("w"));
    store.apply(makeJob("a", {makeStep(5, 100)}));
    CHECK(store.state("a") == JobState::Running);
    CHECK(store.data.jobs.at(JobId("a")).spec.steps[0].count == 1);
}

TEST_CASE("A job with repeats is completed after its last occurrence")
{
    StoreBench store;
    JobAccepted record = makeJob("a", {makeStep(1, 100)});
    record.spec.repeats = 2;
    store.apply(record);
    CHECK(store.data.jobs.at(JobId("a")).occurrences.empty());
    for (std::uint32_t number = 0; number < 2; ++number) {
        store.apply(OccurrenceBegun{JobId("a")});
        const JobTaskRef task{{JobId("a"), number, 0}, 0};
        store.order(task, 1, makeIncarnation("w"));
        CHECK(store.state("a") == JobState::Running);
        store.end(task, 1, RunEnding::Done);
    }
    CHECK(store.state("a") == JobState::Completed);
    store.apply(OccurrenceBegun{JobId("a")});
    CHECK(store.data.jobs.at(JobId("a")).occurrencesBegun == 2);
}

TEST_CASE("A job that is over drops its payload, and is forgotten once none of its runs is open")
{
    JobStoreData data;
    jobstore::apply(data, makeJob("a", {makeStep(2, 100)}), nullptr);
    jobstore::apply(data, RunOrdered{makeTask("a", 0, 0), RunNumber(1), makeIncarnation("w")},
                    nullptr);
    jobstore::apply(data, JobsForgotten{{JobId("a")}}, nullptr);
    REQUIRE(data.jobs.contains(JobId("a")));
    CHECK_FALSE(data.jobs.at(JobId("a")).spec.payload.empty());
    jobstore::apply(data, JobCancelled{JobId("a")}, nullptr);
    CHECK(data.jobs.at(JobId("a")).spec.payload.empty());
    jobstore::apply(data, JobsForgotten{{JobId("a")}}, nullptr);
    REQUIRE(data.jobs.contains(JobId("a")));
    jobstore::apply(data, RunEnded{makeTask("a", 0, 0), RunNumber(1), RunEnding::Stopped, {}},
                    nullptr);
    jobstore::apply(data, JobsForgotten{{JobId("a"), JobId("unknown")}}, nullptr);
    CHECK(data.jobs.empty());
}
