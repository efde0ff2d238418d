#include "control/jobs/heartbeat_collector.h"

#include "tests/control/jobs/job_fixture.h"

#include <catch2/catch.hpp>

using namespace gentiancross;
using namespace gentiancross::tests;

namespace {

WorkerHeartbeat makeHeartbeat(const std::string &worker, std::uint64_t sequence,
                              bool isDraining = false)
{
    WorkerHeartbeat heartbeat;
    heartbeat.report.incarnation = makeIncarnation(worker);
    heartbeat.report.address = worker + ":1";
    heartbeat.report.isDraining = isDraining;
    heartbeat.sequence = sequence;
    heartbeat.clock = 100 * std::int64_t(sequence);
    return heartbeat;
}

std::vector<AcknowledgedHeartbeat> flushed(HeartbeatCollector &collector, Instant now)
{
    Outbox out(false);
    collector.flush(now, HostId("leader"), out);
    std::vector<AcknowledgedHeartbeat> seen;
    for (const Effect &effect : out.take()) {
        const auto &batch = std::get<HeartbeatsReport>(std::get<SendToPeer>(effect).message);
        seen.insert(seen.end(), batch.heartbeats.begin(), batch.heartbeats.end());
    }
    return seen;
}

} // namespace

TEST_CASE("Heartbeats with an unchanged report reach the leader in one batch, with their age")
{
    // Guards against overloading a leader with the heartbeats of hundreds of workers.
    HeartbeatCollector collector;
    const Instant now{50'000};
    for (const char *worker : {"v", "w"}) {
        CHECK_FALSE(collector.absorb(now, makeHeartbeat(worker, 1)));
        collector.recordAcknowledged(now, makeHeartbeat(worker, 1));
        CHECK(collector.absorb(now, makeHeartbeat(worker, 2)));
    }
    const std::vector<AcknowledgedHeartbeat> seen = flushed(collector, now + Milliseconds(200));
    REQUIRE(seen.size() == 2);
    CHECK(seen[0].sequence == 2);
    CHECK(seen[0].age == Milliseconds(200));
    CHECK(seen[0].clock == 200);
    CHECK(flushed(collector, now + Milliseconds(1000)).empty());
}

TEST_CASE("Only the leader acknowledges that a worker is draining")
{
    HeartbeatCollector collector;
    const Instant now{50'000};
    collector.recordAcknowledged(now, makeHeartbeat("w", 1));
    CHECK_FALSE(collector.absorb(now, makeHeartbeat("w", 2, true)));
    // A late heartbeat from before the draining differs from the report acknowledged last.
    collector.recordAcknowledged(now, makeHeartbeat("w", 2, true));
    CHECK_FALSE(collector.absorb(now, makeHeartbeat("w", 1)));
    CHECK(collector.absorb(now, makeHeartbeat("w", 3, true)));
}

TEST_CASE("An incarnation unknown to the leader is not acknowledged until the leader knows it")
{
    // Guards against a fault after a restart of hosts: a worker that had left was used again, or a
    // present one was not used.
    HeartbeatCollector collector;
    const Instant now{50'000};
    collector.recordAcknowledged(now, makeHeartbeat("w", 1));
    collector.forget({{makeIncarnation("w")}});
    CHECK_FALSE(collector.absorb(now, makeHeartbeat("w", 2)));
}

// Guards against an odd sequence number, after which a worker's own heartbeats counted as late.
TEST_CASE("A heartbeat whose sequence number jumps is left to the leader")
{
    HeartbeatCollector collector;
    const Instant now{50'000};
    collector.recordAcknowledged(now, makeHeartbeat("w", 1));
    CHECK(collector.absorb(now, makeHeartbeat("w", 2)));
    CHECK_FALSE(collector.absorb(now, makeHeartbeat("w", 1ULL << 31)));
    CHECK(collector.absorb(now, makeHeartbeat("w", 3)));
    CHECK(flushed(collector, now + Milliseconds(200)).at(0).sequence == 3);
}
