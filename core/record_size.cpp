#include "core/record_size.h"

namespace gentiancross {

namespace {

/** What a record takes besides its texts of free length. */
constexpr std::size_t FixedBytes = 256;

/** Blobs travel as text of four letters for three bytes. */
std::size_t blobBytes(const Blob &blob)
{
    return blob.bytes.size() / 3 * 4 + 4;
}

std::size_t freeBytes(const RequestAccepted &record)
{
    std::size_t bytes = blobBytes(record.spec.payload);
    for (const auto &[label, value] : record.spec.selector)
        bytes += label.size() + value.size() + 8;
    return bytes;
}

std::size_t freeBytes(const RequestEnded &record)
{
    return record.reason.size() + (record.answer.has_value() ? blobBytes(*record.answer) : 0);
}

/** A cell, a look or a long wait of a ledger. */
constexpr std::size_t LedgerItemBytes = 192;

std::size_t bytesOf(const IntervalStatistics &facts)
{
    return (facts.longest.size() + facts.shares.size() + facts.clockJumps.size()) * LedgerItemBytes;
}

std::size_t freeBytes(const MinuteRecorded &record)
{
    return bytesOf(record.seen);
}

std::size_t freeBytes(const LedgerPageRecorded &record)
{
    return record.page.cells.size() * LedgerItemBytes + bytesOf(record.page.facts);
}

template <typename Record>
std::size_t freeBytes(const Record &)
{
    return 0;
}

} // namespace

std::size_t encodedBytes(const DataCentreRecord &record)
{
    return FixedBytes + std::visit([](const auto &typed) { return freeBytes(typed); }, record);
}

std::size_t encodedBytes(const std::vector<DataCentreRecord> &records)
{
    std::size_t bytes = 0;
    for (const DataCentreRecord &record : records)
        bytes += encodedBytes(record);
    return bytes;
}

namespace {

/** A record without texts of callers or operators. */
constexpr std::size_t PlainRecordBytes = 160;
constexpr std::size_t StepBytes = 120;
/** A document travels as its text and as what was read from it. */
constexpr std::size_t DocumentCopies = 2;

std::size_t bytesOf(const JobRecord &record)
{
    if (const auto *accepted = std::get_if<JobAccepted>(&record))
        return PlainRecordBytes + accepted->spec.payload.size()
                + StepBytes * accepted->spec.steps.size();
    if (const auto *document = std::get_if<DocumentAccepted>(&record))
        return PlainRecordBytes + DocumentCopies * document->document.source.size();
    return PlainRecordBytes;
}

} // namespace

std::size_t encodedBytes(const LogEntry &entry)
{
    std::size_t bytes = PlainRecordBytes;
    const auto *command = std::get_if<ReplicatedCommand>(&entry.payload);
    const auto *changes = command == nullptr ? nullptr : std::get_if<JobChanges>(command);
    if (changes == nullptr)
        return bytes;
    for (const JobRecord &record : changes->records)
        bytes += bytesOf(record);
    return bytes;
}

} // namespace gentiancross
