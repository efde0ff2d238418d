#include "control/mirror_set.h"

#include <catch2/catch.hpp>

using namespace gentiancross;

namespace {

HostDirectory directory()
{
    HostDirectory directory;
    directory.self = HostId("a");
    directory.hosts[HostId("a")] = {HostId("a"), DataCentreId("hobart"), true};
    directory.hosts[HostId("b")] = {HostId("b"), DataCentreId("hobart"), false};
    directory.hosts[HostId("c")] = {HostId("c"), DataCentreId("bruny"), true};
    return directory;
}

AuthorityData authority(const std::set<ReplicaId> &inSync)
{
    AuthorityData data;
    data.epoch = Epoch(1);
    data.replica = ReplicaId("a#d-1");
    data.inSync = inSync;
    return data;
}

MirrorReply reply(std::int64_t sentAt, std::uint64_t held, const std::string &replica = "b#m-1")
{
    return {DataCentreId("hobart"),
            Epoch(1),
            ReplicaId(replica),
            Instant(sentAt),
            RecordSequence(held),
            true,
            false};
}

const Identity self{ReplicaId("a#d-1"), SessionId("s")};
const std::set<ReplicaId> both = {ReplicaId("a#d-1"), ReplicaId("b#m-1")};

} // namespace

TEST_CASE("The lease counts from the question, not from its answer")
{
    const HostDirectory hosts = directory();
    MirrorSet mirrors(hosts, self, DataCentreId("hobart"), authority(both), RecordSequence(),
                      Instant(1000), Outbox(true));
    CHECK(mirrors.leaseEnd() < Instant(1000));
    mirrors.receive(Instant(3500), HostId("b"), reply(1000, 0));
    CHECK(mirrors.leaseEnd() == Instant(1000) + AuthorityLease);
    // An answer to an older question changes nothing.
    mirrors.receive(Instant(3600), HostId("b"), reply(500, 0));
    CHECK(mirrors.leaseEnd() == Instant(1000) + AuthorityLease);
}

TEST_CASE("An authority that is alone in sync needs nobody, until it proposes a mirror")
{
    const HostDirectory hosts = directory();
    MirrorSet mirrors(hosts, self, DataCentreId("hobart"), authority({ReplicaId("a#d-1")}),
                      RecordSequence(), Instant(1000), Outbox(true));
    CHECK(mirrors.leaseEnd() > Instant(1'000'000'000));
    mirrors.receive(Instant(1100), HostId("b"), reply(1000, 0));
    const auto change = mirrors.nextChange(Instant(1100));
    REQUIRE(change.has_value());
    CHECK(change->replicas == both);
    // The change may be agreed without this host knowing, so both sets must answer from now on.
    CHECK(mirrors.leaseEnd() == Instant(1000) + AuthorityLease);
    CHECK_FALSE(mirrors.nextChange(Instant(1200)).has_value());
}

TEST_CASE("A record is promised when the own disk and every in-sync mirror hold it")
{
    const HostDirectory hosts = directory();
    MirrorSet mirrors(hosts, self, DataCentreId("hobart"), authority(both), RecordSequence(),
                      Instant(1000), Outbox(true));
    Outbox out(true);
    out.persist(TruncateRecord{LogIndex(1)});
    mirrors.recordAppended(RequestForgotten{RequestId("x")}, RecordSequence(1), out);
    const SyncToken token = out.currentToken();
    CHECK(mirrors.promised() == RecordSequence(0));
    mirrors.receive(Instant(1100), HostId("b"), reply(1000, 1));
    CHECK(mirrors.promised() == RecordSequence(0));
    mirrors.synced(token);
    CHECK(mirrors.promised() == RecordSequence(1));
}

TEST_CASE("A mirror with a gap is sent what it lacks, once a gap")
{
    const HostDirectory hosts = directory();
    DataCentreCopy copy;
    copy.beginEpoch(Epoch(1));
    MirrorSet mirrors(hosts, self, DataCentreId("hobart"), authority(both), RecordSequence(),
                      Instant(1000), Outbox(true));
    Outbox out(true);
    const auto sentTo = [&](const char *host) {
        std::vector<MirrorAppend> sent;
        for (const Effect &effect : out.take()) {
            const auto *message = std::get_if<SendToPeer>(&effect);
            if (message != nullptr && message->to == HostId(host))
                sent.push_back(std::get<MirrorAppend>(message->message));
        }
        return sent;
    };
    mirrors.receive(Instant(1100), HostId("b"), reply(1000, 0));
    for (std::uint64_t sequence = 1; sequence <= 3; ++sequence) {
        copy.apply(RequestForgotten{RequestId("x")});
        mirrors.recordAppended(RequestForgotten{RequestId("x")}, RecordSequence(sequence), out);
    }
    mirrors.flush(Instant(1200), copy, out);
    REQUIRE(sentTo("b").size() == 1);
    // The message was lost; the next heartbeat shows the mirror that it lacks something.
    MirrorReply gap = reply(1900, 0);
    gap.hasGap = true;
    mirrors.receive(Instant(1950), HostId("b"), gap);
    mirrors.flush(Instant(1950), copy, out);
    const auto resent = sentTo("b");
    REQUIRE(resent.size() == 1);
    CHECK(resent.front().records.size() == 3);
    CHECK(resent.front().previous == RecordSequence(0));
    // An answer from before the resend says nothing new.
    mirrors.receive(Instant(1960), HostId("b"), gap);
    mirrors.flush(Instant(1960), copy, out);
    CHECK(sentTo("b").empty());
}

// Storm seed 5 showed tasks started twice: a mirror was agreed on while it lacked records that had
// been promised before, and then succeeded the authority.
TEST_CASE("A mirror is proposed only when it holds all that was ever promised")
{
    const HostDirectory hosts = directory();
    Outbox out(true);
    MirrorSet mirrors(hosts, self, DataCentreId("hobart"), authority({ReplicaId("a#d-1")}),
                      RecordSequence(), Instant(1000), out);
    for (std::uint64_t sequence = 1; sequence <= 5; ++sequence) {
        out.persist(TruncateRecord{LogIndex(1)});
        mirrors.recordAppended(RequestForgotten{RequestId("x")}, RecordSequence(sequence), out);
    }
    mirrors.synced(out.currentToken());
    REQUIRE(mirrors.promised() == RecordSequence(5));
    mirrors.receive(Instant(1100), HostId("b"), reply(1000, 3));
    CHECK_FALSE(mirrors.nextChange(Instant(1100)).has_value());
    // From now on nothing more is promised without it, or it would never catch up under load.
    out.persist(TruncateRecord{LogIndex(1)});
    mirrors.recordAppended(RequestForgotten{RequestId("x")}, RecordSequence(6), out);
    mirrors.synced(out.currentToken());
    CHECK(mirrors.promised() == RecordSequence(5));
    mirrors.receive(Instant(1200), HostId("b"), reply(1150, 5));
    CHECK(mirrors.nextChange(Instant(1200)).has_value());
    mirrors.receive(Instant(1250), HostId("b"), reply(1220, 6));
    CHECK(mirrors.promised() == RecordSequence(6));
}

TEST_CASE("An authority that is alone has promised what its disk holds from the start")
{
    const HostDirectory hosts = directory();
    const Outbox out(true);
    const MirrorSet alone(hosts, self, DataCentreId("hobart"), authority({ReplicaId("a#d-1")}),
                          RecordSequence(7), Instant(1000), out);
    CHECK(alone.promised() == RecordSequence(7));
    const MirrorSet mirrored(hosts, self, DataCentreId("hobart"), authority(both),
                             RecordSequence(7), Instant(1000), out);
    CHECK(mirrored.promised() == RecordSequence(0));
}

TEST_CASE("A mirror that restarts with empty memory counts for nothing until it is agreed on anew")
{
    const HostDirectory hosts = directory();
    MirrorSet mirrors(hosts, self, DataCentreId("hobart"), authority(both), RecordSequence(),
                      Instant(1000), Outbox(true));
    mirrors.receive(Instant(1100), HostId("b"), reply(1000, 0));
    mirrors.receive(Instant(1500), HostId("b"), reply(1400, 0, "b#m-2"));
    CHECK(mirrors.leaseEnd() < Instant(1000));
    const auto change = mirrors.nextChange(Instant(1500));
    REQUIRE(change.has_value());
    CHECK(change->replicas.contains(ReplicaId("b#m-2")));
    CHECK_FALSE(change->replicas.contains(ReplicaId("b#m-1")));
}

TEST_CASE("A silent mirror is taken out before its silence ends the lease")
{
    const HostDirectory hosts = directory();
    MirrorSet mirrors(hosts, self, DataCentreId("hobart"), authority(both), RecordSequence(),
                      Instant(1000), Outbox(true));
    mirrors.receive(Instant(1100), HostId("b"), reply(1000, 0));
    CHECK_FALSE(mirrors.nextChange(Instant(1200)).has_value());
    const Instant later = Instant(1100) + MirrorTimeout;
    const auto change = mirrors.nextChange(later);
    REQUIRE(change.has_value());
    CHECK(change->replicas == std::set<ReplicaId>{ReplicaId("a#d-1")});
    CHECK(later < mirrors.leaseEnd());
}

TEST_CASE("A whole state is sent once until an answer shows whether it came")
{
    const HostDirectory hosts = directory();
    DataCentreCopy copy;
    copy.beginEpoch(Epoch(1));
    WorkSpec spec;
    spec.payload.bytes = std::string(700'000, 'x');
    for (const char *name : {"hobart:t:1", "hobart:t:2", "hobart:t:3"})
        copy.apply(RequestAccepted{RequestId(name), TeamId("t"), spec, Milliseconds(1)});
    MirrorSet mirrors(hosts, self, DataCentreId("hobart"), authority({ReplicaId("a#d-1")}),
                      RecordSequence(3), Instant(1000), Outbox(true));
    Outbox out(true);
    const auto piecesSent = [&](std::int64_t now) {
        mirrors.flush(Instant(now), copy, out);
        std::size_t pieces = 0;
        for (const Effect &effect : out.take()) {
            const auto *message = std::get_if<SendToPeer>(&effect);
            const bool isToB = message != nullptr && message->to == HostId("b");
            pieces += isToB && std::get<MirrorAppend>(message->message).piece.has_value() ? 1 : 0;
        }
        return pieces;
    };
    MirrorReply unsynced = reply(1000, 0);
    unsynced.synced = false;
    mirrors.receive(Instant(1100), HostId("b"), unsynced);
    CHECK(piecesSent(2000) == 3);
    unsynced.sentAt = Instant(2000);
    mirrors.receive(Instant(2100), HostId("b"), unsynced);
    CHECK(piecesSent(2700) == 0);
    // An answer to what was sent later shows that some piece was lost.
    unsynced.sentAt = Instant(2700);
    mirrors.receive(Instant(2800), HostId("b"), unsynced);
    CHECK(piecesSent(3400) == 3);
}

TEST_CASE("A successor without a disk looks for one elsewhere as soon as its own is missed")
{
    HostDirectory hosts = directory();
    hosts.self = HostId("b");
    const Identity successor{ReplicaId("b#m-1"), SessionId("s")};
    AuthorityData data = authority(both);
    data.replica = successor.replica;
    DataCentreCopy copy;
    copy.beginEpoch(Epoch(1));
    const auto isAsked = [&](MirrorSet &mirrors, std::int64_t now) {
        Outbox out(false);
        mirrors.flush(Instant(now), copy, out);
        bool asked = false;
        for (const Effect &effect : out.take()) {
            const auto *message = std::get_if<SendToPeer>(&effect);
            asked = asked || (message != nullptr && message->to == HostId("c"));
        }
        return asked;
    };
    MirrorSet missing(hosts, successor, DataCentreId("hobart"), data, RecordSequence(),
                      Instant(1000), Outbox(false));
    CHECK_FALSE(isAsked(missing, 1050));
    CHECK(isAsked(missing, 1300));
    MirrorSet present(hosts, successor, DataCentreId("hobart"), data, RecordSequence(),
                      Instant(1000), Outbox(false));
    present.receive(Instant(1010), HostId("a"), reply(1000, 0, "a#d-1"));
    CHECK_FALSE(isAsked(present, 1300));
}

TEST_CASE("A mirror whose disk hangs renews the lease, and is taken out all the same")
{
    const HostDirectory hosts = directory();
    MirrorSet mirrors(hosts, self, DataCentreId("hobart"), authority(both), RecordSequence(),
                      Instant(1000), Outbox(true));
    mirrors.receive(Instant(1100), HostId("b"), reply(1000, 0));
    mirrors.receive(HostId("b"),
                    {DataCentreId("hobart"), Epoch(1), ReplicaId("b#m-1"), Instant(2000)});
    CHECK(mirrors.leaseEnd() == Instant(2000) + AuthorityLease);
    // Neither another store of the host nor another epoch counts.
    mirrors.receive(HostId("b"),
                    {DataCentreId("hobart"), Epoch(1), ReplicaId("b#m-2"), Instant(2500)});
    mirrors.receive(HostId("b"),
                    {DataCentreId("hobart"), Epoch(2), ReplicaId("b#m-1"), Instant(2500)});
    CHECK(mirrors.leaseEnd() == Instant(2000) + AuthorityLease);
    const auto change = mirrors.nextChange(Instant(1100) + MirrorTimeout);
    REQUIRE(change.has_value());
    CHECK(change->replicas == std::set<ReplicaId>{ReplicaId("a#d-1")});
}
