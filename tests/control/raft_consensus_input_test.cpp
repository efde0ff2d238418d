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

/** Host "a" of three voters, which another host sends malformed messages. */
struct Voter
{
    Voter()
    {
        agreement.recover(
                LogEntry{LogIndex(1), Term(1), ProposalId(),
                         Membership{{ReplicaId("a#d-1"), replicaB, ReplicaId("c#d-1")}, {}}});
        agreement.recover(VoteRecord{Term(3), std::nullopt});
        agreement.recovered(Start, false);
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
        agreement.receive(now, hostB, message, out);
        flush();
    }

    /** The leader of term 3 sends entries that follow \a previous. */
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
            agreement.tick(now, out);
            flush();
        }
        // Each election that it stands for has a higher term; the newest request says which.
        receive(VoteReply{replicaB, Term(agreement.term().value() + 1), true, true, false});
        receive(VoteReply{replicaB, agreement.term(), true, false, false});
        REQUIRE(agreement.isLeader());
    }

    /** Syncs all that is to be written, and counts the warnings. */
    void flush()
    {
        for (int pass = 0; pass < 2; ++pass) {
            for (Effect &effect : out.take()) {
                if (auto *persist = std::get_if<Persist>(&effect)) {
                    out.synced(persist->token);
                    agreement.synced(now, persist->token, out);
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
    RaftConsensus agreement{directory, {ReplicaId("a#d-1"), SessionId("a1")}, 1};
    Outbox out{true};
    Instant now = Start;
    int warnings = 0;
    AppendReply lastReply;
};

} // namespace

// Guards against a message whose entries are counted twice, which led to reading beyond the log.
TEST_CASE("Entries that do not follow each other are refused, with a line")
{
    Voter voter;
    voter.append(1, 1, 4, {makeEntry(2, 3), makeEntry(2, 3), makeEntry(2, 3)});
    CHECK(voter.agreement.commitIndex() <= LogIndex(1));
    voter.append(1, 1, 9, {makeEntry(7, 3)});
    CHECK(voter.agreement.commitIndex() <= LogIndex(1));
    CHECK(voter.warnings == 2);
    voter.append(1, 1, 3, {makeEntry(2, 3), makeEntry(3, 3)});
    CHECK(voter.agreement.commitIndex() == LogIndex(3));
}

// Guards against a message that takes back what is committed and applied.
TEST_CASE("Entries in place of committed ones are refused, with a line")
{
    Voter voter;
    voter.append(1, 1, 3, {makeEntry(2, 2), makeEntry(3, 2)});
    REQUIRE(voter.agreement.commitIndex() == LogIndex(3));
    voter.append(1, 1, 3, {makeEntry(2, 3)});
    CHECK(voter.warnings == 1);
    voter.append(3, 2, 4, {makeEntry(4, 3)});
    CHECK(voter.lastReply.success);
    CHECK(voter.agreement.commitIndex() == LogIndex(4));
}

// Guards against an answer that counts as holding entries which were never sent.
TEST_CASE("An answer that claims more than the log holds commits nothing")
{
    Voter voter;
    voter.lead();
    const LogIndex before = voter.agreement.commitIndex();
    voter.receive(AppendReply{
            replicaB, voter.agreement.term(), true, LogIndex(UINT64_MAX), LogIndex(), {}, {}});
    CHECK(voter.agreement.commitIndex() == before);
    CHECK(voter.warnings > 0);
}

// Guards against a leader's permission that a malformed time makes last for ever.
TEST_CASE("An answer to a question of the future confirms no contact")
{
    Voter voter;
    voter.lead();
    voter.receive(AppendReply{replicaB, voter.agreement.term(), true, LogIndex(1), LogIndex(),
                              voter.now + Milliseconds(1'000'000'000), voter.now});
    CHECK(voter.agreement.confirmedContact() <= voter.now);
    CHECK(voter.warnings > 0);
}
