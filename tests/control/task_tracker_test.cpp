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

/** A keeper of one data centre whose records are promised at once. */
struct Keeper
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

    /** Starts a long task and returns the order that left. */
    StartTask startTask(std::int64_t now)
    {
        scheduler.reserve(TeamId("t"), WorkerId("w"), makeStart().resources);
        tasks.start(makeStart(), out);
        tasks.sendPromised(Instant(now), RecordSequence(100), Instant(1'000'000), out);
        for (Effect &effect : out.take()) {
            if (auto *start = std::get_if<StartTask>(&effect))
                return *start;
        }
        FAIL("no order left");
        return {};
    }
};

} // namespace

TEST_CASE("A worker gets nothing until it obeys the new authority")
{
    Keeper keeper;
    CHECK(keeper.announce(1000, 500, 1).epoch == Epoch(2));
    CHECK_FALSE(keeper.tasks.workers().isUsable(Instant(1000), WorkerId("w"), 0));
    keeper.announce(1100, 600, 2);
    CHECK(keeper.tasks.workers().isUsable(Instant(1100), WorkerId("w"), 0));
}

TEST_CASE("An announcement that was overtaken renews nothing")
{
    Keeper keeper;
    keeper.announce(1000, 500, 2);
    const AnnouncementReply late = keeper.announce(1100, 400, 2);
    CHECK(late.leaseUntil <= Instant(400));
}

TEST_CASE("No order leaves after the authority's lease")
{
    Keeper keeper;
    keeper.announce(1000, 500, 2);
    keeper.scheduler.reserve(TeamId("t"), WorkerId("w"), keeper.makeStart().resources);
    keeper.tasks.start(keeper.makeStart(), keeper.out);
    keeper.tasks.sendPromised(Instant(2000), RecordSequence(100), Instant(2000), keeper.out);
    for (const Effect &effect : keeper.out.take())
        CHECK_FALSE(std::holds_alternative<StartTask>(effect));
    CHECK(keeper.tasks.isTracked({RequestId("hobart:t:x"), 0}));
}

TEST_CASE("A task on a silent worker ends when its lease has run out on the slowest clock")
{
    Keeper keeper;
    keeper.announce(1000, 500, 2);
    const StartTask start = keeper.startTask(1000);
    CHECK(start.order.leaseUntil == Instant(500) + TaskLease);
    CallEnded taken;
    taken.call = start.call;
    taken.outcome = CallOutcome::Answered;
    taken.httpStatus = 200;
    keeper.tasks.callEnded(Instant(1010), taken, keeper.out);
    FORBID_CALL(keeper.observer, taskEnded(_, _, _, _));
    keeper.tasks.tick(Instant(1000) + TaskLease, keeper.out);
    const Instant certain = Instant(1000) + withDrift(withDrift(TaskLease));
    REQUIRE_CALL(keeper.observer, taskEnded(certain, _, _, _)).WITH(_3.ran == HasRun::Unknown);
    keeper.tasks.tick(certain, keeper.out);
    CHECK(keeper.scheduler.runningOf(TeamId("t")) == Resources());
}

TEST_CASE("A worker's restart ends what it ran")
{
    Keeper keeper;
    keeper.announce(1000, 500, 2);
    const StartTask start = keeper.startTask(1000);
    CallEnded taken;
    taken.call = start.call;
    taken.outcome = CallOutcome::Answered;
    taken.httpStatus = 200;
    keeper.tasks.callEnded(Instant(1010), taken, keeper.out);
    keeper.announce(2000, 10, 0, "w2");
    REQUIRE_CALL(keeper.observer, taskEnded(_, _, _, _)).WITH(_3.ran == HasRun::Unknown);
    keeper.announce(2100, 110, 2, "w2");
}

TEST_CASE("A task that an earlier authority started is adopted where its worker names it")
{
    Keeper keeper;
    TaskStart start = keeper.makeStart();
    keeper.tasks.adopt(Instant(1000), start);
    CHECK(keeper.scheduler.runningOf(TeamId("t")).cores == MilliCores(1000));
    keeper.announce(1100, 500, 2, "w1", {"hobart:t:x/0/1"});
    CHECK(keeper.tasks.isRunning(start.task));
}

TEST_CASE("An unheard-of task is stopped, and no lease is renewed for it")
{
    Keeper keeper;
    const AnnouncementReply reply = keeper.announce(1000, 500, 2, "w1", {"hobart:t:old/0/1"});
    REQUIRE(reply.stop.size() == 1);
    CHECK(reply.stop.front() == TaskId("hobart:t:old/0/1"));
}

TEST_CASE("A worker that fails all it starts is put aside, and tried again with one task")
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

TEST_CASE("Room that a task uses is not free, whatever it declared, until it ends")
{
    Keeper keeper;
    keeper.announce(1000, 500, 2);
    const StartTask start = keeper.startTask(1000);
    const std::string task = start.order.task.value();
    CallEnded taken;
    taken.call = start.call;
    taken.outcome = CallOutcome::Answered;
    taken.httpStatus = 200;
    keeper.tasks.callEnded(Instant(1010), taken, keeper.out);
    keeper.announce(2000, 1500, 2, "w1", {task}, MilliCores(3500));
    CHECK(keeper.scheduler.reservedOn(WorkerId("w")).cores == MilliCores(3500));
    // Usage lags and varies; what was taken once may be taken again.
    keeper.announce(2500, 2000, 2, "w1", {task}, MilliCores(200));
    CHECK(keeper.scheduler.reservedOn(WorkerId("w")).cores == MilliCores(3500));
    keeper.announce(3000, 10, 0, "w2");
    REQUIRE_CALL(keeper.observer, taskEnded(_, _, _, _));
    keeper.announce(3100, 110, 2, "w2");
    CHECK(keeper.scheduler.reservedOn(WorkerId("w")) == Resources());
}
