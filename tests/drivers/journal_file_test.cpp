#include "drivers/journal_file.h"

#include "core/error.h"
#include "tests/servers/message_mutator.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace gentiancross;

namespace {

class TemporaryFolder
{
public:
    TemporaryFolder()
        : m_path(std::filesystem::temp_directory_path()
                 / ("gentiancross-journal-" + std::to_string(::getpid())))
    {
        std::filesystem::remove_all(m_path);
    }

    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;
    ~TemporaryFolder() { std::filesystem::remove_all(m_path); }

    [[nodiscard]] std::string path() const { return m_path; }
    [[nodiscard]] std::string journal() const { return m_path / "state.journal"; }

private:
    std::filesystem::path m_path;
};

JournalRecord entry(std::uint64_t index)
{
    return LogEntry{LogIndex(index), Term(1), ProposalId("p" + std::to_string(index)),
                    NoOperation()};
}

std::vector<JournalRecord> entries(std::uint64_t count)
{
    std::vector<JournalRecord> records;
    for (std::uint64_t index = 1; index <= count; ++index)
        records.push_back(entry(index));
    return records;
}

std::string bytesOf(const std::vector<JournalRecord> &records)
{
    std::string bytes;
    for (const JournalRecord &record : records)
        bytes += JournalFile::encodeRecord(record);
    return bytes;
}

void checkIsPrefix(const std::vector<JournalRecord> &records, std::size_t least)
{
    CHECK(records.size() >= least);
    for (std::size_t index = 0; index < records.size(); ++index)
        CHECK(std::get<LogEntry>(records[index]).index == LogIndex(index + 1));
}

} // namespace

TEST_CASE("Every prefix of a journal recovers to whole records only")
{
    const std::string bytes = bytesOf(entries(4));
    std::vector<std::size_t> ends;
    for (std::uint64_t count = 0; count <= 4; ++count)
        ends.push_back(bytesOf(entries(count)).size());
    for (std::size_t length = 0; length <= bytes.size(); ++length) {
        std::size_t usable = 0;
        const auto records = JournalFile::decodeRecords(bytes.substr(0, length), usable);
        REQUIRE(records.ok());
        const auto whole = static_cast<std::size_t>(
                std::upper_bound(ends.begin(), ends.end(), length) - ends.begin() - 1);
        CHECK(records->size() == whole);
        CHECK(usable == ends[whole]);
        checkIsPrefix(*records, whole);
    }
}

TEST_CASE("A changed byte is never taken for a record")
{
    const std::string bytes = bytesOf(entries(5));
    const std::size_t lastStart = bytesOf(entries(4)).size();
    for (std::size_t place = 0; place < bytes.size(); ++place) {
        std::string damaged = bytes;
        damaged[place] = static_cast<char>(damaged[place] ^ 0x41);
        std::size_t usable = 0;
        const auto records = JournalFile::decodeRecords(damaged, usable);
        if (place < lastStart) {
            CHECK_FALSE(records.ok());
        } else {
            REQUIRE(records.ok());
            checkIsPrefix(*records, 4);
            CHECK(records->size() == 4);
        }
    }
}

TEST_CASE("A journal gives back what was appended, and goes on after a torn record")
{
    const TemporaryFolder folder;
    {
        JournalFile file;
        REQUIRE(file.open(folder.path()).ok());
        REQUIRE(file.append(entries(3)).ok());
        REQUIRE(file.sync().ok());
    }
    std::ofstream(folder.journal(), std::ios::app | std::ios::binary)
            << std::string({'\x20', '\0', '\0'});
    {
        JournalFile file;
        const auto records = file.open(folder.path());
        REQUIRE(records.ok());
        CHECK(records->size() == 3);
        REQUIRE(file.append({entry(4)}).ok());
        REQUIRE(file.sync().ok());
    }
    JournalFile file;
    const auto records = file.open(folder.path());
    REQUIRE(records.ok());
    CHECK(records->size() == 4);
    checkIsPrefix(*records, 4);
}

TEST_CASE("Replacing all records leaves only those, and later ones follow")
{
    const TemporaryFolder folder;
    {
        JournalFile file;
        REQUIRE(file.open(folder.path()).ok());
        REQUIRE(file.append({entry(7), entry(8), entry(9)}).ok());
        REQUIRE(file.replaceAll(entries(2)).ok());
        REQUIRE(file.append({entry(3)}).ok());
        REQUIRE(file.sync().ok());
    }
    JournalFile file;
    const auto records = file.open(folder.path());
    REQUIRE(records.ok());
    checkIsPrefix(*records, 3);
}

TEST_CASE("Damage in the middle is refused with file and offset")
{
    const TemporaryFolder folder;
    {
        JournalFile file;
        REQUIRE(file.open(folder.path()).ok());
        REQUIRE(file.append(entries(9)).ok());
    }
    const std::size_t second = bytesOf(entries(1)).size();
    std::fstream out(folder.journal(), std::ios::in | std::ios::out | std::ios::binary);
    out.seekp(static_cast<std::streamoff>(second + 12));
    out.put('!');
    out.close();
    JournalFile file;
    const auto records = file.open(folder.path());
    REQUIRE_FALSE(records.ok());
    CHECK(errorPeer(records.status()) == folder.journal());
    CHECK(std::string(records.status().message())
          == "damaged record at offset " + std::to_string(second));
}

TEST_CASE("Two processes can't have one data folder, and a store's name lasts")
{
    const TemporaryFolder folder;
    JournalFile first;
    REQUIRE(first.open(folder.path()).ok());
    const auto name = first.readOrCreateStoreName();
    REQUIRE(name.ok());
    CHECK(*first.readOrCreateStoreName() == *name);
    JournalFile second;
    CHECK(absl::IsFailedPrecondition(second.open(folder.path()).status()));
}

// Guards against a damaged journal that ends the process or gives other records than were written.
TEST_CASE("Whatever is torn, flipped or repeated in a journal, only what was written is read")
{
    constexpr std::uint64_t Records = 12;
    const std::string bytes = bytesOf(entries(Records));
    tests::MessageMutator mutator(1);
    int refused = 0;
    for (int round = 0; round < 3000; ++round) {
        std::string damaged = bytes;
        for (std::uint64_t changes = mutator.below(4) + 1; changes > 0; --changes) {
            const std::size_t at = mutator.below(damaged.size());
            if (mutator.below(2) == 0)
                damaged[at] = static_cast<char>(damaged[at] ^ (1 << mutator.below(8)));
            else if (mutator.below(2) == 0)
                damaged.replace(at, mutator.below(40), mutator.below(40), '\0');
            else
                damaged.resize(at + 1);
        }
        std::size_t usable = 0;
        const auto records = JournalFile::decodeRecords(damaged, usable);
        if (records.ok())
            checkIsPrefix(*records, 0);
        else
            ++refused;
    }
    CHECK(refused > 0);
}
