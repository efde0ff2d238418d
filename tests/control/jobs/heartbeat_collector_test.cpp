#include "control/jobs/heartbeat_collector.h"

#include "tests/control/jobs/job_fixture.h"

#include <catch2/catch.hpp>

using namespace gentiancross;
using namespace gentiancross::tests;

namespace {

WorkerBeat makeHeartbeat(const std::string &worker, std::uint64_t sequence, bool isDraining = false)
{
    WorkerBeat heartbeat;
    heartbeat.report.life = makeLife(worker);
    heartbeat.report.address = worker + ":1";
    heartbeat.report.isDraining = isDraining;
    heartbeat.sequence = sequence;
    heartbeat.clock = 100 * std::int64_t(sequence);
    return heartbeat;
}

std::vector<BeatSeen> flushed(HeartbeatCollector &collector, Instant now)
{
    Outbox out(false);
    collector.flush(now, HostId("leader"), out);
    std::vector<BeatSeen> seen;
    for (const Effect &effect : out.take()) {
        const auto &batch = std::get<BeatsSeen>(std::get<SendToPeer>(effect).message);
        seen.insert(seen.end(), batch.beats.begin(), batch.beats.end());
    }
    return seen;
}

} // namespace

TEST_CASE("Heartbeats that say nothing new reach the leader in one batch, with their age")
{
    // Pattern: hundreds of workers beat at one leader.
    HeartbeatCollector collector;
    const Instant now{50'000};
    for (const char *worker : {"v", "w"}) {
        CHECK_FALSE(collector.absorb(now, makeHeartbeat(worker, 1)));
        collector.recordAcknowledged(now, makeHeartbeat(worker, 1).report);
        CHECK(collector.absorb(now, makeHeartbeat(worker, 2)));
    }
    const std::vector<BeatSeen> seen = flushed(collector, now + Milliseconds(200));
    REQUIRE(seen.size() == 2);
    CHECK(seen[0].sequence == 2);
    CHECK(seen[0].age == Milliseconds(200));
    CHECK(seen[0].clock == 200);
    CHECK(flushed(collector, now + Milliseconds(1000)).empty());
}

TEST_CASE("Only the leader acknowledges that a worker drains")
{
    HeartbeatCollector collector;
    const Instant now{50'000};
    collector.recordAcknowledged(now, makeHeartbeat("w", 1).report);
    CHECK_FALSE(collector.absorb(now, makeHeartbeat("w", 2, true)));
    // It drained before: a late heartbeat of then is not what was acknowledged last.
    collector.recordAcknowledged(now, makeHeartbeat("w", 2, true).report);
    CHECK_FALSE(collector.absorb(now, makeHeartbeat("w", 1)));
    CHECK(collector.absorb(now, makeHeartbeat("w", 3, true)));
}

TEST_CASE("A life that the leader does not know is not acknowledged again before it does")
{
    // Pattern: after a restart a worker that had left was in use again, or one that is there was
    // not.
    HeartbeatCollector collector;
    const Instant now{50'000};
    collector.recordAcknowledged(now, makeHeartbeat("w", 1).report);
    collector.forget({{makeLife("w")}});
    CHECK_FALSE(collector.absorb(now, makeHeartbeat("w", 2)));
}
