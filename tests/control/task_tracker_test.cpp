#include "control/task_tracker.h"

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

using namespace gentiancross;
using trompeloeil::_; // NOLINT(bugprone-reserved-identifier): the library's own name.

namespace {

class ObserverMock final : public TaskObserver
{
public:
    MAKE_MOCK4(taskEnded, void(Instant, const TaskRef &, const TaskEnd &, Outbox &), override);
    MAKE_MOCK3(taskAnswerLost, void(Instant, const TaskRef &, Outbox &), override);
};

/** The tracker of a data centre whose records are promised at once. */
struct TrackerFixture
{
    HostDirectory directory = makeDirectory();
    Identity identity{ReplicaId("a#d-1"), SessionId("s")};
    DataCentreCopy copy;
    MirrorSet mirrors{directory,        identity,   DataCentreId("hobart"), makeAuthority(),
                      RecordSequence(), Instant(0), Outbox(false)};
    RecordWriter records{DataCentreId("hobart"), copy, mirrors};
    Scheduler scheduler{Policies::standard()};
    ObserverMock observer;
    std::uint64_t lastCall = 0;
    TaskTracker tasks{Epoch(2), scheduler, records, observer, lastCall};
    Outbox out{false};

    static HostDirectory makeDirectory()
    {
        HostDirectory directory;
        directory.self = HostId("a");
        directory.hosts[HostId("a")] = {HostId("a"), DataCentreId("hobart"), true};
        return directory;
    }

    static AuthorityData makeAuthority()
    {
        AuthorityData authority;
        authority.epoch = Epoch(2);
        authority.replica = ReplicaId("a#d-1");
        authority.inSync = {ReplicaId("a#d-1")};
        return authority;
    }

    AnnouncementReply announce(std::int64_t now, std::int64_t workerNow, std::uint64_t epoch,
                               const std::string &session = "w1",
                               const std::vector<std::string> &running = {}, MilliCores used = {})
    {
        Announcement announcement;
        announcement.worker = WorkerId("w");
        announcement.session = SessionId(session);
        announcement.workerNow = Instant(workerNow);
        announcement.epoch = Epoch(epoch);
        announcement.capacity = {MilliCores(8000), Mebibytes(0), Accelerators(0), Slots(8)};
        announcement.connections = Slots(64);
        for (const std::string &task : running)
            announcement.running.push_back({TaskId(task), TeamId("t"), {}, used, {}});
        return tasks.announced(Instant(now), announcement, out);
    }

    TaskStart makeStart()
    {
        TaskStart start;
        start.task = {RequestId("hobart:t:x"), 0};
        start.worker = WorkerId("w");
        start.team = TeamId("t");
        start.resources = {MilliCores(1000), Mebibytes(0), Accelerators(0), Slots(1)};
        start.deadline = Instant(100'000);
        return start;
    }

    /** Starts a task of a job and returns the order that was sent. */
    StartTask startTask(std::int64_t now)
    {
        scheduler.reserve(TeamId("t"), WorkerId("w"), makeStart().resources);
        tasks.start(makeStart(), out);
        tasks.sendPromised(Instant(now), RecordSequence(100), Instant(1'000'000), out);
        for (Effect &effect : out.take()) {
            if (auto *start = std::get_if<StartTask>(&effect))
                return *start;
        }
        FAIL("no order was sent");
        return {};
    }
};

} // namespace

TEST_CASE("A worker is not usable until it has accepted the epoch of the new authority")
{
    TrackerFixture fixture;
    CHECK(fixture.announce(1000, 500, 1).epoch == Epoch(2));
    CHECK_FALSE(fixture.tasks.workers().isUsable(Instant(1000), WorkerId("w"), 0));
    fixture.announce(1100, 600, 2);
    CHECK(fixture.tasks.workers().isUsable(Instant(1100), WorkerId("w"), 0));
}

TEST_CASE("An announcement older than the last one renews no lease")
{
    TrackerFixture fixture;
    fixture.announce(1000, 500, 2);
    const AnnouncementReply late = fixture.announce(1100, 400, 2);
    CHECK(late.leaseUntil <= Instant(400));
}

TEST_CASE("No order is sent after the end of the authority's lease")
{
    TrackerFixture fixture;
    fixture.announce(1000, 500, 2);
    fixture.scheduler.reserve(TeamId("t"), WorkerId("w"), fixture.makeStart().resources);
    fixture.tasks.start(fixture.makeStart(), fixture.out);
    fixture.tasks.sendPromised(Instant(2000), RecordSequence(100), Instant(2000), fixture.out);
    for (const Effect &effect : fixture.out.take())
        CHECK_FALSE(std::holds_alternative<StartTask>(effect));
    CHECK(fixture.tasks.isTracked({RequestId("hobart:t:x"), 0}));
}

TEST_CASE("A task on a silent worker ends when its lease has expired on the slowest clock")
{
    TrackerFixture fixture;
    fixture.announce(1000, 500, 2);
    const StartTask start = fixture.startTask(1000);
    CHECK(start.order.leaseUntil == Instant(500) + TaskLease);
    CallEnded taken;
    taken.call = start.call;
    taken.outcome = CallOutcome::Answered;
    taken.httpStatus = 200;
    fixture.tasks.callEnded(Instant(1010), taken, fixture.out);
    FORBID_CALL(fixture.observer, taskEnded(_, _, _, _));
    fixture.tasks.tick(Instant(1000) + TaskLease, fixture.out);
    const Instant certain = Instant(1000) + withDrift(withDrift(TaskLease));
    REQUIRE_CALL(fixture.observer, taskEnded(certain, _, _, _)).WITH(_3.hasRun == HasRun::Unknown);
    fixture.tasks.tick(certain, fixture.out);
    CHECK(fixture.scheduler.runningOf(TeamId("t")) == Resources());
}

TEST_CASE("A restart of a worker ends its tasks")
{
    TrackerFixture fixture;
    fixture.announce(1000, 500, 2);
    const StartTask start = fixture.startTask(1000);
    CallEnded taken;
    taken.call = start.call;
    taken.outcome = CallOutcome::Answered;
    taken.httpStatus = 200;
    fixture.tasks.callEnded(Instant(1010), taken, fixture.out);
    fixture.announce(2000, 10, 0, "w2");
    REQUIRE_CALL(fixture.observer, taskEnded(_, _, _, _)).WITH(_3.hasRun == HasRun::Unknown);
    fixture.announce(2100, 110, 2, "w2");
}

TEST_CASE("A task started by an earlier authority is adopted when its worker lists it")
{
    TrackerFixture fixture;
    TaskStart start = fixture.makeStart();
    fixture.tasks.adopt(Instant(1000), start);
    CHECK(fixture.scheduler.runningOf(TeamId("t")).cores == MilliCores(1000));
    fixture.announce(1100, 500, 2, "w1", {"hobart:t:x/0/1"});
    CHECK(fixture.tasks.isRunning(start.task));
}

TEST_CASE("An unknown task is stopped, and its lease is not renewed")
{
    TrackerFixture fixture;
    const AnnouncementReply reply = fixture.announce(1000, 500, 2, "w1", {"hobart:t:old/0/1"});
    REQUIRE(reply.stop.size() == 1);
    CHECK(reply.stop.front() == TaskId("hobart:t:old/0/1"));
}

TEST_CASE("A worker whose tasks all fail at once is put aside, then tried again with one task")
{
    WorkerTable workers(Epoch(1));
    Announcement announcement;
    announcement.worker = WorkerId("w");
    announcement.session = SessionId("s");
    announcement.epoch = Epoch(1);
    announcement.workerNow = Instant(1);
    workers.recordAnnouncement(Instant(1000), announcement);
    CHECK_FALSE(workers.recordStartFailure(Instant(1000), WorkerId("w")));
    CHECK_FALSE(workers.recordStartFailure(Instant(1000), WorkerId("w")));
    CHECK(workers.recordStartFailure(Instant(1000), WorkerId("w")));
    CHECK_FALSE(workers.isUsable(Instant(1000), WorkerId("w"), 0));
    announcement.workerNow = Instant(2);
    workers.recordAnnouncement(Instant(7000), announcement);
    CHECK(workers.isUsable(Instant(7000), WorkerId("w"), 0));
    CHECK_FALSE(workers.isUsable(Instant(7000), WorkerId("w"), 1));
    workers.recordStartSuccess(WorkerId("w"));
    CHECK(workers.isUsable(Instant(7000), WorkerId("w"), 1));
}

TEST_CASE("Capacity that a task uses beyond its declaration is not free until the task ends")
{
    TrackerFixture fixture;
    fixture.announce(1000, 500, 2);
    const StartTask start = fixture.startTask(1000);
    const std::string task = start.order.task.value();
    CallEnded taken;
    taken.call = start.call;
    taken.outcome = CallOutcome::Answered;
    taken.httpStatus = 200;
    fixture.tasks.callEnded(Instant(1010), taken, fixture.out);
    fixture.announce(2000, 1500, 2, "w1", {task}, MilliCores(3500));
    CHECK(fixture.scheduler.reservedOn(WorkerId("w")).cores == MilliCores(3500));
    // Usage figures lag and vary; a task may again use what it used once.
    fixture.announce(2500, 2000, 2, "w1", {task}, MilliCores(200));
    CHECK(fixture.scheduler.reservedOn(WorkerId("w")).cores == MilliCores(3500));
    fixture.announce(3000, 10, 0, "w2");
    REQUIRE_CALL(fixture.observer, taskEnded(_, _, _, _));
    fixture.announce(3100, 110, 2, "w2");
    CHECK(fixture.scheduler.reservedOn(WorkerId("w")) == Resources());
}
