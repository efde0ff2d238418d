#include "control/replication_progress.h"

#include <catch2/catch.hpp>

using namespace gentiancross;

namespace {

constexpr ReplicationTiming Timing{Milliseconds(150), Milliseconds(400), Milliseconds(150),
                                   Milliseconds(150)};
const HostId followerHost("b");
const ReplicaId followerStore("b#store");
const Instant startTime{10'000};

/** The progress of a leader with one follower, to which a message was sent at startTime. */
ReplicationProgress makeProgress()
{
    HostDirectory directory;
    directory.self = HostId("a");
    for (const char *host : {"a", "b"})
        directory.hosts.emplace(HostId(host), HostInfo{HostId(host), DataCentreId(), true});
    ReplicationProgress progress(directory, Timing);
    progress.reset(startTime, LogIndex(1));
    FollowerProgress &follower = progress.at(followerHost);
    follower.replica = followerStore;
    follower.lastSent = startTime;
    return progress;
}

} // namespace

TEST_CASE("A snapshot is not resent while its receiver may still be processing it")
{
    // Guards against resends to a host that reconnects under load: each further copy kept it
    // busy.
    ReplicationProgress progress = makeProgress();
    FollowerProgress &follower = progress.at(followerHost);
    const Membership membership{{followerStore}, {}};
    follower.inFlight = true;
    const Instant later = startTime + Milliseconds(1000);
    CHECK(progress.isDue(later, followerHost, LogIndex(9), LogIndex(9), membership));
    follower.isSnapshotInFlight = true;
    CHECK_FALSE(progress.isDue(later, followerHost, LogIndex(9), LogIndex(9), membership));
    const Instant lost = startTime + Milliseconds(10'000);
    CHECK(progress.isDue(lost, followerHost, LogIndex(9), LogIndex(9), membership));
}

TEST_CASE("A learner gets entries in batches, but without delay if it lags far behind")
{
    ReplicationProgress progress = makeProgress();
    const Instant soon = startTime + Milliseconds(50);
    const Membership withVote{{followerStore}, {}};
    const Membership withoutVote{{ReplicaId("a#store")}, {}};
    CHECK(progress.isDue(soon, followerHost, LogIndex(9), LogIndex(0), withVote));
    CHECK_FALSE(progress.isDue(soon, followerHost, LogIndex(9), LogIndex(0), withoutVote));
    CHECK(progress.isDue(soon, followerHost, LogIndex(900), LogIndex(0), withoutVote));
    // A commit index alone waits for the next entries, the commit delay or the heartbeat.
    CHECK_FALSE(progress.isDue(soon, followerHost, LogIndex(0), LogIndex(9), withVote));
    CHECK(progress.isDue(startTime + Milliseconds(150), followerHost, LogIndex(0), LogIndex(9),
                         withVote));
}

TEST_CASE("Only the reply to the newest message that is not a resend ends its flight")
{
    ReplicationProgress progress = makeProgress();
    FollowerProgress &follower = progress.at(followerHost);
    follower.inFlight = true;
    follower.awaitedSentAt = startTime + Milliseconds(500);
    AppendReply reply{followerStore, Term(1), true, LogIndex(3), LogIndex(3), startTime, {}};
    progress.recordReply(startTime + Milliseconds(510), followerHost, reply);
    CHECK(follower.inFlight);
    CHECK(follower.matchIndex == LogIndex(3));
    reply.sentAt = follower.awaitedSentAt;
    progress.recordReply(startTime + Milliseconds(520), followerHost, reply);
    CHECK_FALSE(follower.inFlight);
}
