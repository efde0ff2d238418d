#include "control/raft_consensus.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace gentiancross;

namespace {

const HostId hostB("b");
const ReplicaId replicaB("b#d-1");
constexpr Instant Start{1'000'000};

SharedEntry makeEntry(std::uint64_t index, std::uint64_t term)
{
    return std::make_shared<const LogEntry>(
            LogEntry{LogIndex(index), Term(term), ProposalId(), NoOperation()});
}

/** Host "a" of three voters, which receives malformed messages from another host. */
struct Voter
{
    Voter()
    {
        raft.recover(LogEntry{LogIndex(1), Term(1), ProposalId(),
                              Membership{{ReplicaId("a#d-1"), replicaB, ReplicaId("c#d-1")}, {}}});
        raft.recover(VoteRecord{Term(3), std::nullopt});
        raft.recovered(Start, false);
    }

    static HostDirectory makeDirectory()
    {
        HostDirectory directory;
        directory.self = HostId("a");
        for (const char *name : {"a", "b", "c"})
            directory.hosts[HostId(name)] = {HostId(name), DataCentreId("x"), true};
        return directory;
    }

    template <typename Message>
    void receive(const Message &message)
    {
        raft.receive(now, hostB, message, out);
        flush();
    }

    /** Delivers an AppendRequest of the leader of term 3 with entries after \a previous. */
    void append(std::uint64_t previous, std::uint64_t previousTerm, std::uint64_t commit,
                std::vector<SharedEntry> entries)
    {
        receive(AppendRequest{replicaB,
                              Term(3),
                              LogIndex(previous),
                              Term(previousTerm),
                              LogIndex(commit),
                              std::move(entries),
                              now,
                              {}});
    }

    void lead()
    {
        while (now < Start + Milliseconds(4000)) {
            now = now + Milliseconds(50);
            raft.tick(now, out);
            flush();
        }
        // Each election has a higher term than the one before; reply for the newest.
        receive(VoteReply{replicaB, Term(raft.term().value() + 1), true, true, false});
        receive(VoteReply{replicaB, raft.term(), true, false, false});
        REQUIRE(raft.isLeader());
    }

    /** Syncs pending records, counts warnings and keeps the last AppendReply. */
    void flush()
    {
        for (int pass = 0; pass < 2; ++pass) {
            for (Effect &effect : out.take()) {
                if (auto *persist = std::get_if<Persist>(&effect)) {
                    out.synced(persist->token);
                    raft.synced(now, persist->token, out);
                } else if (const auto *line = std::get_if<LogLine>(&effect)) {
                    warnings += line->warning ? 1 : 0;
                } else if (const auto *sent = std::get_if<SendToPeer>(&effect)) {
                    const auto *reply = std::get_if<AppendReply>(&sent->message);
                    if (reply != nullptr)
                        lastReply = *reply;
                }
            }
        }
    }

    HostDirectory directory = makeDirectory();
    RaftConsensus raft{directory, {ReplicaId("a#d-1"), SessionId("a1")}, 1};
    Outbox out{true};
    Instant now = Start;
    int warnings = 0;
    AppendReply lastReply;
};

} // namespace

// Guards against counting repeated entries of a message twice, which led to reads beyond the end of
// the log.
TEST_CASE("Non-consecutive entries are rejected with a warning")
{
    Voter voter;
    voter.append(1, 1, 4, {makeEntry(2, 3), makeEntry(2, 3), makeEntry(2, 3)});
    CHECK(voter.raft.commitIndex() <= LogIndex(1));
    voter.append(1, 1, 9, {makeEntry(7, 3)});
    CHECK(voter.raft.commitIndex() <= LogIndex(1));
    CHECK(voter.warnings == 2);
    voter.append(1, 1, 3, {makeEntry(2, 3), makeEntry(3, 3)});
    CHECK(voter.raft.commitIndex() == LogIndex(3));
}

// Guards against a message that replaces committed and applied entries.
TEST_CASE("Entries that conflict with committed ones are rejected with a warning")
{
    Voter voter;
    voter.append(1, 1, 3, {makeEntry(2, 2), makeEntry(3, 2)});
    REQUIRE(voter.raft.commitIndex() == LogIndex(3));
    voter.append(1, 1, 3, {makeEntry(2, 3)});
    CHECK(voter.warnings == 1);
    voter.append(3, 2, 4, {makeEntry(4, 3)});
    CHECK(voter.lastReply.success);
    CHECK(voter.raft.commitIndex() == LogIndex(4));
}

// Guards against a reply that acknowledges entries which were never sent.
TEST_CASE("A reply that acknowledges more than the log holds commits nothing")
{
    Voter voter;
    voter.lead();
    const LogIndex before = voter.raft.commitIndex();
    voter.receive(AppendReply{
            replicaB, voter.raft.term(), true, LogIndex(UINT64_MAX), LogIndex(), {}, {}});
    CHECK(voter.raft.commitIndex() == before);
    CHECK(voter.warnings > 0);
}

// Guards against a malformed time that would extend a leader's confirmed contact indefinitely.
TEST_CASE("A reply to a request with a send time in the future confirms no contact")
{
    Voter voter;
    voter.lead();
    voter.receive(AppendReply{replicaB, voter.raft.term(), true, LogIndex(1), LogIndex(),
                              voter.now + Milliseconds(1'000'000'000), voter.now});
    CHECK(voter.raft.confirmedContact() <= voter.now);
    CHECK(voter.warnings > 0);
}
