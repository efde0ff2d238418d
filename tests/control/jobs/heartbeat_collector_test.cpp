#include "control/jobs/heartbeat_collector.h"

#include "tests/control/jobs/job_fixture.h"

#include <catch2/catch.hpp>

using namespace gentiancross;
using namespace gentiancross::tests;

namespace {

WorkerHeartbeat makeBeat(const std::string &worker, std::uint64_t sequence, bool isDraining = false)
{
    WorkerHeartbeat beat;
    beat.report.incarnation = makeLife(worker);
    beat.report.address = worker + ":1";
    beat.report.isDraining = isDraining;
    beat.sequence = sequence;
    beat.clock = 100 * std::int64_t(sequence);
    return beat;
}

std::vector<AcknowledgedHeartbeat> flushed(HeartbeatCollector &beats, Instant now)
{
    Outbox out(false);
    beats.flush(now, HostId("leader"), out);
    std::vector<AcknowledgedHeartbeat> seen;
    for (const Effect &effect : out.take()) {
        const auto &batch = std::get<HeartbeatsReport>(std::get<SendToPeer>(effect).message);
        seen.insert(seen.end(), batch.heartbeats.begin(), batch.heartbeats.end());
    }
    return seen;
}

} // namespace

TEST_CASE("Heartbeats that say nothing new reach the leader in one batch, with their age")
{
    // Pattern: hundreds of workers beat at one leader.
    HeartbeatCollector beats;
    const Instant now{50'000};
    for (const char *worker : {"v", "w"}) {
        CHECK_FALSE(beats.absorb(now, makeBeat(worker, 1)));
        beats.acknowledged(now, makeBeat(worker, 1).report);
        CHECK(beats.absorb(now, makeBeat(worker, 2)));
    }
    const std::vector<AcknowledgedHeartbeat> seen = flushed(beats, now + Milliseconds(200));
    REQUIRE(seen.size() == 2);
    CHECK(seen[0].sequence == 2);
    CHECK(seen[0].age == Milliseconds(200));
    CHECK(seen[0].clock == 200);
    CHECK(flushed(beats, now + Milliseconds(1000)).empty());
}

TEST_CASE("Only the leader acknowledges that a worker drains")
{
    HeartbeatCollector beats;
    const Instant now{50'000};
    beats.acknowledged(now, makeBeat("w", 1).report);
    CHECK_FALSE(beats.absorb(now, makeBeat("w", 2, true)));
    // It drained before: a late heartbeat of then is not what was acknowledged last.
    beats.acknowledged(now, makeBeat("w", 2, true).report);
    CHECK_FALSE(beats.absorb(now, makeBeat("w", 1)));
    CHECK(beats.absorb(now, makeBeat("w", 3, true)));
}

TEST_CASE("A life that the leader does not know is not acknowledged again before it does")
{
    // Pattern: after a restart a worker that had left was in use again, or one that is there was
    // not.
    HeartbeatCollector beats;
    const Instant now{50'000};
    beats.acknowledged(now, makeBeat("w", 1).report);
    beats.forget({{makeLife("w")}});
    CHECK_FALSE(beats.absorb(now, makeBeat("w", 2)));
}
