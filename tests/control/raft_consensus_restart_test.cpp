#include "control/raft_consensus.h"
#include "drivers/codec.h"
#include "drivers/journal_file.h"
#include "tests/control/jobs/job_fixture.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace gentiancross;
using namespace gentiancross::tests;

namespace {

struct Change
{
    std::string proposal;
    ReplicatedCommand command;
};

ConfigDocument makeDocument(std::uint64_t version, const std::string &key)
{
    ConfigDocument document;
    document.version = DocumentVersion(version);
    document.teams = {{TeamId("alpha"), {ApiKey(key)}, 1, {}}};
    return document;
}

WorkerReport makeReport(bool isDraining)
{
    WorkerReport report;
    report.incarnation = makeIncarnation("w");
    report.pool = PoolId("pool");
    report.isDraining = isDraining;
    return report;
}

ReplicatedCommand changeJobs(std::vector<JobRecord> records)
{
    return JobChanges{std::move(records)};
}

/** A key and a worker are added and removed; then old changes are repeated. */
std::vector<Change> makeChanges()
{
    const GrantKey grant{TeamId("t"), KeyId("k"), KeyHash("hash")};
    return {{"op:team", PutTeam{TeamId("t"), ObjectVersion(), 1, MilliCores(100)}},
            {"op:grant", grant},
            {"", changeJobs({DocumentAccepted{makeDocument(1, "old")}})},
            {"", changeJobs({WorkerReported{makeReport(false)}})},
            {"", changeJobs({makeJob("00000000000000aa", {makeStep(1, 100)})})},
            {"op:withdraw", RevokeKey{TeamId("t"), KeyId("k")}},
            {"", changeJobs({DocumentAccepted{makeDocument(2, "new")}})},
            {"", changeJobs({WorkerReported{makeReport(true)}})},
            {"", changeJobs({WorkerIncarnationEnded{makeIncarnation("w")}})},
            {"op:grant", grant},
            {"op:grant-again", grant},
            {"", changeJobs({DocumentAccepted{makeDocument(1, "old")}})}};
}

/** The only voter of a log; the test restarts its process. */
class RestartableVoter
{
public:
    RestartableVoter()
    {
        m_directory.self = HostId("a");
        m_directory.hosts[HostId("a")] = {HostId("a"), DataCentreId("x"), true};
        m_directory.initialVoters = {HostId("a")};
        restart();
    }

    void restart()
    {
        std::size_t usable = 0;
        const auto records = JournalFile::decodeRecords(m_journal, usable);
        REQUIRE(records.ok());
        m_out = Outbox(true);
        m_raft.emplace(m_directory, Identity{ReplicaId("a#d-1"), SessionId("s")}, 1);
        for (const JournalRecord &record : *records)
            m_raft->recover(record);
        m_raft->recovered(m_now, records->empty());
        for (int step = 0; step < 400 && !canCommit(); ++step) {
            m_now = m_now + Milliseconds(50);
            m_raft->tick(m_now, m_out);
            flush();
        }
        REQUIRE(canCommit());
    }

    void apply(const Change &change)
    {
        REQUIRE(m_raft->propose(m_now, ProposalId(change.proposal), change.command, m_out).ok());
        flush();
    }

    void compact()
    {
        m_out.replaceJournal(m_raft->compact());
        flush();
    }

    [[nodiscard]] const ReplicatedState &state() const { return m_raft->state(); }

private:
    [[nodiscard]] bool canCommit() const
    {
        return m_raft->isLeader() && m_raft->hasAppliedCurrentTerm();
    }

    void flush()
    {
        for (int pass = 0; pass < 3; ++pass) {
            for (Effect &effect : m_out.take()) {
                auto *persist = std::get_if<Persist>(&effect);
                if (persist == nullptr)
                    continue;
                if (persist->replaceAll)
                    m_journal.clear();
                for (const JournalRecord &record : persist->records)
                    m_journal += JournalFile::encodeRecord(record);
                m_out.synced(persist->token);
                m_raft->synced(m_now, persist->token, m_out);
            }
        }
        m_raft->takeApplied();
    }

    HostDirectory m_directory;
    std::string m_journal;
    Outbox m_out{true};
    std::optional<RaftConsensus> m_raft;
    Instant m_now{1'000'000};
};

/** The teams with their keys, and the state of jobs with its workers, as text. */
std::string textOf(const ReplicatedState &state)
{
    std::string text;
    for (const auto &[name, team] : state.data().teams)
        text += codec::encode(team);
    return text + codec::encode(state.data().jobs);
}

} // namespace

// Guards against a withdrawn key or a departed worker being in use again after a restart.
TEST_CASE("A process that ends anywhere between two snapshots recovers everything it acknowledged")
{
    const std::vector<Change> changes = makeChanges();
    std::vector<std::string> expected;
    RestartableVoter uninterrupted;
    for (const Change &change : changes) {
        expected.push_back(textOf(uninterrupted.state()));
        uninterrupted.apply(change);
    }
    CHECK_FALSE(uninterrupted.state().teamOfKey(KeyHash("hash")).has_value());
    CHECK(uninterrupted.state().data().jobs.document->version == DocumentVersion(2));
    CHECK(uninterrupted.state().data().jobs.workers.empty());
    for (std::size_t compaction = 0; compaction <= changes.size(); ++compaction) {
        for (std::size_t end = 0; end <= changes.size(); ++end) {
            INFO("compaction before " << compaction << ", restart before " << end);
            RestartableVoter voter;
            for (std::size_t position = 0; position < changes.size(); ++position) {
                if (position == compaction)
                    voter.compact();
                if (position == end) {
                    voter.restart();
                    CHECK(textOf(voter.state()) == expected[position]);
                }
                voter.apply(changes[position]);
            }
            voter.restart();
            CHECK(textOf(voter.state()) == textOf(uninterrupted.state()));
        }
    }
}
