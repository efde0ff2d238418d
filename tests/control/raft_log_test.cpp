#include "control/raft_log.h"

#include "core/record_size.h"

#include <catch2/catch.hpp>

using namespace gentiancross;

namespace {

SharedEntry makeEntry(std::uint64_t index, std::size_t payload)
{
    JobAccepted accepted;
    accepted.id = JobId("job");
    accepted.spec.payload = std::string(payload, 'x');
    return std::make_shared<const LogEntry>(LogEntry{LogIndex(index), Term(1), ProposalId(),
                                                     ReplicatedCommand(JobChanges{{accepted}})});
}

RaftLog makeLog(std::uint64_t entries, std::size_t payload)
{
    RaftLog log;
    for (std::uint64_t index = 1; index <= entries; ++index)
        log.append(makeEntry(index, payload));
    return log;
}

} // namespace

TEST_CASE("The byte count of a log follows truncation and compaction")
{
    RaftLog log = makeLog(10, 1000);
    const std::size_t each = encodedBytes(*makeEntry(1, 1000));
    CHECK(log.bytes() == 10 * each);
    log.truncate(LogIndex(9));
    CHECK(log.bytes() == 8 * each);
    log.compact(LogIndex(5), Term(1));
    CHECK(log.bytes() == 3 * each);
}

TEST_CASE("The entries that a compaction retains are bounded in number and in bytes")
{
    const RaftLog small = makeLog(100, 10);
    CHECK(small.chooseCompactionBase(LogIndex(100), 30, 1 << 20) == LogIndex(70));
    CHECK(small.chooseCompactionBase(LogIndex(20), 30, 1 << 20) == LogIndex(0));
    // Large configurations, a few of which would fill the memory.
    const RaftLog large = makeLog(100, 300'000);
    CHECK(large.chooseCompactionBase(LogIndex(100), 30, 1 << 20) == LogIndex(97));
    CHECK(large.chooseCompactionBase(LogIndex(100), 30, 1000) == LogIndex(100));
}
