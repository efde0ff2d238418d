#include "control/mirror_store.h"

#include <catch2/catch.hpp>

using namespace gentiancross;

namespace {

/** A mirror "b" of the data centre whose authority is "a". */
struct Mirror
{
    HostDirectory directory = makeDirectory();
    Identity identity{ReplicaId("b#m-1"), SessionId("b1")};
    RaftConsensus raft{directory, identity, 1};
    Proposer proposer{directory, identity, raft};
    MirrorStore store{directory, identity, raft, proposer};
    Outbox out{false};

    static HostDirectory makeDirectory()
    {
        HostDirectory directory;
        directory.self = HostId("b");
        directory.hosts[HostId("a")] = {HostId("a"), DataCentreId("hobart"), true};
        directory.hosts[HostId("b")] = {HostId("b"), DataCentreId("hobart"), false};
        return directory;
    }

    MirrorReply receive(const MirrorAppend &message)
    {
        store.receive(Instant(1000), HostId("a"), message, out);
        for (const Effect &effect : out.take()) {
            const auto *sent = std::get_if<SendToPeer>(&effect);
            if (sent != nullptr)
                return std::get<MirrorReply>(sent->message);
        }
        FAIL("no reply");
        return {};
    }
};

MirrorAppend message(std::uint64_t previous)
{
    return {DataCentreId("hobart"),
            Epoch(1),
            ReplicaId("a#d-1"),
            Instant(5),
            RecordSequence(previous),
            std::nullopt,
            {}};
}

MirrorAppend piece(std::uint64_t sequence, std::uint32_t index, bool isLast,
                   std::vector<DataCentreRecord> records = {})
{
    MirrorAppend append = message(sequence);
    append.piece
            = CopyPiece{DataCentreId("hobart"), Epoch(1), RecordSequence(sequence), index, isLast,
                        std::move(records)};
    return append;
}

MirrorAppend reset(std::uint64_t sequence)
{
    return piece(sequence, 0, true);
}

DataCentreRecord accepted(const std::string &name)
{
    return RequestAccepted{RequestId(name), TeamId("t"), WorkSpec(), Milliseconds(1)};
}

MirrorAppend records(std::uint64_t previous, int count)
{
    MirrorAppend append = message(previous);
    for (int index = 0; index < count; ++index)
        append.records.emplace_back(RequestForgotten{RequestId("x")});
    return append;
}

} // namespace

TEST_CASE("A mirror without a copy replies that it is not synced and accepts a full copy")
{
    Mirror mirror;
    CHECK_FALSE(mirror.receive(message(10)).synced);
    const MirrorReply reply = mirror.receive(reset(10));
    CHECK(reply.synced);
    CHECK(reply.held == RecordSequence(10));
}

TEST_CASE("Duplicate records are applied once, and a gap is reported")
{
    Mirror mirror;
    mirror.receive(reset(10));
    CHECK(mirror.receive(records(10, 3)).held == RecordSequence(13));
    CHECK(mirror.receive(records(10, 3)).held == RecordSequence(13));
    const MirrorReply reply = mirror.receive(records(20, 1));
    CHECK(reply.hasGap);
    CHECK(reply.held == RecordSequence(13));
}

TEST_CASE("An outdated full copy does not undo acknowledged records")
{
    Mirror mirror;
    mirror.receive(reset(10));
    mirror.receive(records(10, 3));
    CHECK(mirror.receive(reset(10)).held == RecordSequence(13));
    CHECK(mirror.receive(reset(15)).held == RecordSequence(15));
}

TEST_CASE("A full copy in pieces takes effect only when all pieces arrive in order")
{
    Mirror mirror;
    CHECK_FALSE(mirror.receive(piece(10, 0, false, {accepted("a")})).synced);
    // The second piece is lost.
    CHECK_FALSE(mirror.receive(piece(10, 2, true, {accepted("c")})).synced);
    // Pieces of another copy don't complete this one.
    CHECK_FALSE(mirror.receive(piece(11, 1, true, {accepted("b")})).synced);
    CHECK_FALSE(mirror.receive(piece(12, 0, false, {accepted("a")})).synced);
    CHECK_FALSE(mirror.receive(piece(12, 1, false, {accepted("b")})).synced);
    const MirrorReply reply = mirror.receive(piece(12, 2, true, {accepted("c")}));
    CHECK(reply.synced);
    CHECK(reply.held == RecordSequence(12));
    CHECK(mirror.store.copyOf(DataCentreId("hobart")).requests().size() == 3);
}

TEST_CASE("A state larger than one message is split into pieces that recover from the journal")
{
    DataCentreCopy copy;
    copy.beginEpoch(Epoch(1));
    WorkSpec spec;
    spec.payload.bytes = std::string(300'000, 'x');
    for (int index = 0; index < 20; ++index)
        copy.apply(RequestAccepted{RequestId("hobart:t:" + std::to_string(index)), TeamId("t"),
                                   spec, Milliseconds(1)});
    const std::vector<CopyPiece> pieces = copy.snapshot(DataCentreId("hobart"));
    CHECK(pieces.size() > 5);
    Mirror mirror;
    for (const CopyPiece &part : pieces)
        mirror.store.recover(part);
    const DataCentreCopy &recovered = mirror.store.copyOf(DataCentreId("hobart"));
    CHECK(recovered.requests().size() == 20);
    CHECK(recovered.lastSequence() == RecordSequence(20));
    CHECK(recovered.isComplete());
}

// Guards against a stall that the scenario kill-authority showed: no progress was made when the
// host without a disk had claimed first.
TEST_CASE("A host without a disk lets a host with a disk make the initial claim")
{
    Mirror mirror;
    mirror.raft.recovered(Instant(0), true);
    mirror.store.finishRecovery(Instant(0));
    // The log becomes available late.
    AppendRequest heartbeat;
    heartbeat.leader = ReplicaId("a#d-1");
    heartbeat.term = Term(1);
    heartbeat.commit = LogIndex(1);
    heartbeat.entries.push_back(
            std::make_shared<const LogEntry>(LogEntry{LogIndex(1), Term(1), {}, NoOperation()}));
    const auto claims = [&](std::int64_t now) {
        mirror.raft.receive(Instant(now), HostId("a"), heartbeat, mirror.out);
        mirror.out.take();
        mirror.store.tick(Instant(now), mirror.out);
        std::size_t proposals = 0;
        for (const Effect &effect : mirror.out.take()) {
            const auto *sent = std::get_if<SendToPeer>(&effect);
            const bool isProposal
                    = sent != nullptr && std::holds_alternative<Propose>(sent->message);
            proposals += isProposal ? 1 : 0;
        }
        return proposals;
    };
    CHECK(claims(5'000) == 0);
    CHECK(claims(5'500) == 0);
    CHECK(claims(5'800) == 1);
}

TEST_CASE("A mirror renews the lease before its disk has synced and replies after the sync")
{
    Mirror mirror;
    Outbox out(true);
    const auto sent = [&] {
        std::vector<PeerMessage> messages;
        for (const Effect &effect : out.take()) {
            if (const auto *message = std::get_if<SendToPeer>(&effect))
                messages.push_back(message->message);
        }
        return messages;
    };
    mirror.store.receive(Instant(1000), HostId("a"), piece(0, 0, true), out);
    const std::vector<PeerMessage> ahead = sent();
    REQUIRE(ahead.size() == 1);
    REQUIRE(std::holds_alternative<MirrorLease>(ahead.front()));
    CHECK(std::get<MirrorLease>(ahead.front()).sentAt == Instant(5));
    out.synced(SyncToken(1));
    const std::vector<PeerMessage> after = sent();
    REQUIRE(after.size() == 1);
    CHECK(std::holds_alternative<MirrorReply>(after.front()));
    // With no unsynced records the reply itself is sent at once.
    mirror.store.receive(Instant(2000), HostId("a"), message(0), out);
    const std::vector<PeerMessage> idle = sent();
    REQUIRE(idle.size() == 1);
    CHECK(std::holds_alternative<MirrorReply>(idle.front()));
}

// Guards against a record with more tasks than memory holds, which would crash every mirror.
TEST_CASE("A request with more tasks than the maximum is not stored")
{
    DataCentreCopy copy;
    RequestAccepted record{RequestId("hobart:t:x"), TeamId("t"), {}, {}};
    record.spec.taskCount = 4'000'000'000;
    copy.apply(record);
    CHECK(copy.find(record.request) == nullptr);
}
