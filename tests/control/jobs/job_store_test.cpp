#include "tests/control/jobs/job_fixture.h"

#include <catch2/catch.hpp>

using namespace gentiancross;
using namespace gentiancross::tests;

namespace {

/** Counts the runs that take room. */
class OpenRuns final : public JobStoreObserver
{
public:
    void onRunOpened(const JobTaskRef &, const Job &, const TaskProgress &) override { ++count; }
    void onRunClosed(const JobTaskRef &, const Job &, const TaskProgress &) override { --count; }
    void onJobChanged(const JobId &, const Job &) override {}

    int count = 0;
};

struct Book
{
    void apply(const JobRecord &record) { jobstore::apply(data, record, &runs); }
    void order(const JobTaskRef &task, std::uint64_t run, const WorkerIncarnation &life)
    {
        apply(RunOrdered{task, RunNumber(run), life});
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
    OpenRuns runs;
};

} // namespace

TEST_CASE("A job is completed when every task of every step is done")
{
    Book book;
    book.apply(makeJob("a", {makeStep(2, 100), makeStep(1, 100, {0})}));
    CHECK(book.state("a") == JobState::Queued);
    book.order(makeTask("a", 0, 0), 1, makeLife("w"));
    book.order(makeTask("a", 0, 1), 1, makeLife("w"));
    CHECK(book.state("a") == JobState::Running);
    book.end(makeTask("a", 0, 0), 1, RunEnding::Done);
    const Job &job = book.data.jobs.at(JobId("a"));
    CHECK_FALSE(jobstore::isStepReady(job, job.occurrences.at(0), 1));
    book.end(makeTask("a", 0, 1), 1, RunEnding::Done);
    CHECK(jobstore::isStepReady(job, job.occurrences.at(0), 1));
    book.order(makeTask("a", 1, 0), 1, makeLife("w"));
    CHECK(book.state("a") == JobState::Running);
    book.end(makeTask("a", 1, 0), 1, RunEnding::Done);
    CHECK(book.state("a") == JobState::Completed);
    CHECK(book.runs.count == 0);
}

TEST_CASE("A late end of an earlier run leaves the room of the run at work taken")
{
    // A zone was cut off, its leases lapsed, its tasks were started elsewhere; after the cut the
    // first worker still lists that its run was done.
    Book book;
    book.apply(makeJob("a", {makeStep(1, 100)}));
    const JobTaskRef task = makeTask("a", 0, 0);
    book.order(task, 1, makeLife("cut-off"));
    book.end(task, 1, RunEnding::Lapsed);
    book.order(task, 2, makeLife("other"));
    REQUIRE(book.runs.count == 1);
    book.end(task, 1, RunEnding::Done);
    CHECK(book.state("a") == JobState::Completed);
    CHECK(book.runs.count == 1);
    CHECK(book.task(task).mayStillRun);
    book.end(task, 2, RunEnding::Stopped);
    CHECK(book.runs.count == 0);
}

TEST_CASE("A failed run of a task that is done does not fail its job")
{
    Book book;
    book.apply(makeJob("a", {makeStep(2, 100)}, 1));
    const JobTaskRef task = makeTask("a", 0, 0);
    book.order(task, 1, makeLife("cut-off"));
    book.end(task, 1, RunEnding::Lapsed);
    book.order(task, 2, makeLife("other"));
    book.end(task, 1, RunEnding::Done);
    book.end(task, 2, RunEnding::Failed);
    CHECK(book.state("a") == JobState::Running);
    CHECK(book.runs.count == 0);
}

TEST_CASE("Only failed runs count as attempts")
{
    Book book;
    book.apply(makeJob("a", {makeStep(1, 100)}, 2));
    const JobTaskRef task = makeTask("a", 0, 0);
    std::uint64_t run = 0;
    for (const RunEnding ending : {RunEnding::Stopped, RunEnding::Lost, RunEnding::Lapsed,
                                   RunEnding::NotStarted, RunEnding::Failed}) {
        book.order(task, ++run, makeLife("w"));
        book.end(task, run, ending);
        CHECK(book.state("a") == JobState::Running);
    }
    book.order(task, ++run, makeLife("w"));
    book.end(task, run, RunEnding::Failed);
    CHECK(book.state("a") == JobState::Failed);
    // The same end is listed again to the next leader.
    book.end(task, run, RunEnding::Failed);
    CHECK(book.task(task).failures == 2);
}

TEST_CASE("A lasting task has no limit of attempts and is never done")
{
    Book book;
    StepSpec step = makeStep(1, 100);
    step.isLongRunning = true;
    book.apply(makeJob("a", {step}, 1));
    const JobTaskRef task = makeTask("a", 0, 0);
    for (std::uint64_t run = 1; run <= 5; ++run) {
        book.order(task, run, makeLife("w"));
        book.end(task, run, run % 2 == 0 ? RunEnding::Failed : RunEnding::Done);
        CHECK(book.state("a") == JobState::Running);
        CHECK_FALSE(book.task(task).mayStillRun);
        CHECK_FALSE(book.task(task).isDone);
    }
}

TEST_CASE("A gang's end stands for all members, its failure counts once, its checkpoint serves all")
{
    Book book;
    StepSpec step = makeStep(3, 100);
    step.isGang = true;
    book.apply(makeJob("a", {step}, 2));
    for (std::uint32_t index = 0; index < 3; ++index)
        book.order(makeTask("a", 0, index), 1, makeLife("w"));
    book.end(makeTask("a", 0, 1), 1, RunEnding::Failed, "saved");
    book.end(makeTask("a", 0, 0), 1, RunEnding::GangBroken);
    book.end(makeTask("a", 0, 2), 1, RunEnding::GangBroken);
    CHECK(book.state("a") == JobState::Running);
    for (std::uint32_t index = 0; index < 3; ++index) {
        CHECK(book.task(makeTask("a", 0, index)).checkpoint == "saved");
        book.order(makeTask("a", 0, index), 2, makeLife("w"));
    }
    book.end(makeTask("a", 0, 2), 2, RunEnding::Done);
    CHECK(book.state("a") == JobState::Completed);
    CHECK(book.runs.count == 0);
}

TEST_CASE("The highest configuration stays, and a job is accepted once")
{
    Book book;
    ConfigDocument document;
    document.version = DocumentVersion(7);
    document.source = "seven";
    book.apply(DocumentAccepted{document});
    document.source = "another seven";
    book.apply(DocumentAccepted{document});
    document.version = DocumentVersion(3);
    book.apply(DocumentAccepted{document});
    CHECK(book.data.document->source == "seven");
    book.apply(makeJob("a", {makeStep(1, 100)}));
    book.order(makeTask("a", 0, 0), 1, makeLife("w"));
    book.apply(makeJob("a", {makeStep(5, 100)}));
    CHECK(book.state("a") == JobState::Running);
    CHECK(book.data.jobs.at(JobId("a")).spec.steps[0].count == 1);
}

TEST_CASE("A job with set times is completed after its last occurrence")
{
    Book book;
    JobAccepted record = makeJob("a", {makeStep(1, 100)});
    record.spec.repeats = 2;
    book.apply(record);
    CHECK(book.data.jobs.at(JobId("a")).occurrences.empty());
    for (std::uint32_t number = 0; number < 2; ++number) {
        book.apply(OccurrenceBegun{JobId("a")});
        const JobTaskRef task{{JobId("a"), number, 0}, 0};
        book.order(task, 1, makeLife("w"));
        CHECK(book.state("a") == JobState::Running);
        book.end(task, 1, RunEnding::Done);
    }
    CHECK(book.state("a") == JobState::Completed);
    book.apply(OccurrenceBegun{JobId("a")});
    CHECK(book.data.jobs.at(JobId("a")).occurrencesBegun == 2);
}

TEST_CASE("A job that is over keeps no payload, and is forgotten once nothing of it runs")
{
    JobStoreData data;
    jobstore::apply(data, makeJob("a", {makeStep(2, 100)}), nullptr);
    jobstore::apply(data, RunOrdered{makeTask("a", 0, 0), RunNumber(1), makeLife("w")}, nullptr);
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
