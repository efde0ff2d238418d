#include "tests/control/solo_host.h"

#include <catch2/catch.hpp>

using namespace gentiancross;
using tests::SoloHost;

namespace {

ExchangeId submitBatch(SoloHost &host, std::uint64_t number, std::uint32_t tasks, bool idempotent)
{
    SubmitReceived event;
    event.exchange = ExchangeId(10'000 + number);
    event.caller.key = KeyHash("k");
    event.requestName = "batch" + std::to_string(number);
    event.spec.kind = WorkKind::Batch;
    event.spec.taskCount = tasks;
    event.spec.perTask = {MilliCores(1000), Mebibytes(0), Accelerators(0), Slots(1)};
    event.spec.idempotent = idempotent;
    host.feed(event);
    return event.exchange;
}

/** Answers that each ordered task was started; returns their names. */
std::vector<std::string> startAll(SoloHost &host)
{
    std::vector<std::string> tasks;
    std::vector<StartTask> starts;
    for (const Effect &effect : host.effects()) {
        if (const auto *start = std::get_if<StartTask>(&effect))
            starts.push_back(*start);
    }
    for (const StartTask &start : starts) {
        tasks.push_back(start.order.task.value());
        CallEnded event;
        event.call = start.call;
        event.outcome = CallOutcome::Answered;
        event.httpStatus = 200;
        event.body = std::make_shared<const std::string>();
        host.feed(event);
    }
    host.clearEffects();
    return tasks;
}

const AnnouncementReply &announceAndHear(SoloHost &host, const std::vector<std::string> &running)
{
    host.announce(running);
    return std::get<AnnouncementReply>(host.last<Reply>()->answer);
}

} // namespace

TEST_CASE("Lent room is taken back by checkpoint, then throttle, then stop")
{
    SoloHost host;
    host.prepare();
    host.addTeam("other");
    submitBatch(host, 1, 8, true);
    const std::vector<std::string> tasks = startAll(host);
    REQUIRE(tasks.size() == 8);
    host.submit("urgent", true, "other");
    host.run(6);
    CHECK(announceAndHear(host, tasks).checkpoint.size() == 1);
    host.run(20);
    CHECK(announceAndHear(host, tasks).throttle.size() == 1);
    host.run(20);
    const AnnouncementReply reply = announceAndHear(host, tasks);
    REQUIRE(reply.stop.size() == 1);
    std::vector<std::string> left = tasks;
    std::erase(left, reply.stop.front().value());
    host.clearEffects();
    host.advance(Milliseconds(100));
    host.announce(left);
    REQUIRE(host.count<StartTask>() == 1);
    CHECK(host.last<StartTask>()->order.task == TaskId("hobart:other:urgent/0/1"));
}

TEST_CASE("Work that must run once is never stopped for another team")
{
    SoloHost host;
    host.prepare();
    host.addTeam("other");
    submitBatch(host, 1, 8, false);
    const std::vector<std::string> tasks = startAll(host);
    host.submit("urgent", true, "other");
    host.run(30);
    const AnnouncementReply &reply = announceAndHear(host, tasks);
    CHECK(reply.checkpoint.empty());
    CHECK(reply.throttle.empty());
    CHECK(reply.stop.empty());
}

TEST_CASE("A team takes nothing back beyond its share")
{
    SoloHost host;
    host.prepare();
    host.addTeam("other");
    submitBatch(host, 1, 8, true);
    const std::vector<std::string> tasks = startAll(host);
    for (int index = 0; index < 8; ++index)
        host.submit("x" + std::to_string(index), true, "other");
    host.run(6);
    // Eight slots, two teams alike: four each.
    CHECK(announceAndHear(host, tasks).checkpoint.size() == 4);
}
