#pragma once

#include "core/journal_records.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <vector>

namespace gentiancross {

/**
 * One append-only file of checksummed records in the data folder.
 *
 * Layout: for each record its length and checksum, 4 bytes each, little end first, then its text.
 * A last record that is cut short or damaged was never synced as a whole and is cut off; damage
 * before it is refused, because what was promised can't be told any more.
 * Thread safety: one thread at a time.
 */
class JournalFile
{
public:
    JournalFile() = default;
    JournalFile(const JournalFile &) = delete;
    JournalFile &operator=(const JournalFile &) = delete;
    ~JournalFile();

    /**
     * Opens the journal in \a folder, which is made if it is missing, and returns its records.
     * Errors: DataLoss with file and offset for damage, FailedPrecondition if another process has
     * it, Internal for the operating system's errors.
     */
    absl::StatusOr<std::vector<JournalRecord>> open(const std::string &folder);

    /**
     * The name of the store, made durably when the folder is first opened and lost only with it.
     * Precondition: open. Error: Internal.
     */
    absl::StatusOr<std::string> readOrCreateStoreName() const;

    /** Writes records without syncing. Precondition: open. Error: Internal; the file is then
     * unusable. */
    absl::Status append(const std::vector<JournalRecord> &records);
    /** Makes all that was appended durable. Same precondition and error. */
    absl::Status sync();
    /** Durably puts \a records in place of all others. Same precondition and error. */
    absl::Status replaceAll(const std::vector<JournalRecord> &records);

    /** The bytes that stand for \a record in the file. Reentrant. */
    static std::string encodeRecord(const JournalRecord &record);
    /**
     * Reads as many whole records as \a bytes holds; \a usable is set to where they end. Error:
     * DataLoss if a damaged record is followed by another. Reentrant.
     */
    static absl::StatusOr<std::vector<JournalRecord>> decodeRecords(const std::string &bytes,
                                                                    std::size_t &usable);

private:
    absl::Status lockFolder(const std::string &folder);
    absl::Status writeAll(int file, const std::string &bytes) const;
    absl::Status syncFolder() const;
    [[nodiscard]] absl::Status systemError(const std::string &what) const;

    std::string m_folder;
    std::string m_path;
    int m_file = -1;
    int m_lock = -1;
};

} // namespace gentiancross
