#include "core/record_size.h"

#include "core/job_size.h"

namespace gentiancross {

namespace {

/** The size of a record without its variable-length texts. */
constexpr std::size_t FixedBytes = 256;

/** Blobs are encoded as text with four characters for three bytes. */
std::size_t blobBytes(const Blob &blob)
{
    return blob.bytes.size() / 3 * 4 + 4;
}

std::size_t variableBytes(const RequestAccepted &record)
{
    std::size_t bytes = blobBytes(record.spec.payload);
    for (const auto &[label, value] : record.spec.selector)
        bytes += label.size() + value.size() + 8;
    return bytes;
}

std::size_t variableBytes(const RequestEnded &record)
{
    return record.reason.size() + (record.answer.has_value() ? blobBytes(*record.answer) : 0);
}

/** The size of a cell, a sample or a long wait of a ledger. */
constexpr std::size_t LedgerItemBytes = 192;

std::size_t bytesOf(const IntervalStatistics &facts)
{
    return (facts.longest.size() + facts.shares.size() + facts.clockJumps.size()) * LedgerItemBytes;
}

std::size_t variableBytes(const MinuteRecorded &record)
{
    return bytesOf(record.seen);
}

std::size_t variableBytes(const LedgerPageRecorded &record)
{
    return record.page.cells.size() * LedgerItemBytes + bytesOf(record.page.facts);
}

template <typename Record>
std::size_t variableBytes(const Record &)
{
    return 0;
}

} // namespace

std::size_t encodedBytes(const DataCentreRecord &record)
{
    return FixedBytes + std::visit([](const auto &typed) { return variableBytes(typed); }, record);
}

std::size_t encodedBytes(const std::vector<DataCentreRecord> &records)
{
    std::size_t bytes = 0;
    for (const DataCentreRecord &record : records)
        bytes += encodedBytes(record);
    return bytes;
}

namespace {

/** The size of a record without texts of callers or operators. */
constexpr std::size_t PlainRecordBytes = 160;
/** A configuration is encoded twice: as its source and as the parsed values. */
constexpr std::size_t DocumentCopies = 2;

std::size_t bytesOf(const JobRecord &record)
{
    if (const auto *job = std::get_if<JobAccepted>(&record))
        return PlainRecordBytes + static_cast<std::size_t>(encodedBytes(job->spec).value());
    const auto *accepted = std::get_if<DocumentAccepted>(&record);
    if (accepted != nullptr && accepted->document.has_value())
        return PlainRecordBytes + DocumentCopies * accepted->document->source.size();
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
