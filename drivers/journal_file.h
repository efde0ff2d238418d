#pragma once

#include "core/journal_records.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <vector>

namespace gentiancross {

/**
 * Owns the append-only file of checksummed records in the data folder, and the folder's lock. Read
 * at start-up, then written by the journal thread.
 *
 * Layout: for each record its length and checksum, 4 bytes each, little-endian, then its text.
 * A last record that is truncated or damaged was never synced completely and is removed when the
 * file is opened. Damage before the last record is an error, because records that were already
 * acknowledged as durable may be lost.
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
     * Opens the journal in \a folder, which is created if it is missing, and returns its records.
     * Errors: DataLoss with file and offset for damage, FailedPrecondition if another process has
     * locked the folder, Internal for errors of the operating system.
     */
    absl::StatusOr<std::vector<JournalRecord>> open(const std::string &folder);

    /**
     * Returns the unique name of this data folder. It is generated and stored durably on the first
     * call, and lost only with the folder.
     * Precondition: open. Error: Internal.
     */
    absl::StatusOr<std::string> readOrCreateStoreName() const;

    /** Appends records without syncing. Precondition: open. Error: Internal; the file is unusable
     * afterwards. */
    absl::Status append(const std::vector<JournalRecord> &records);
    /** Makes all appended records durable. Same precondition and error as append(). */
    absl::Status sync();
    /** Durably replaces all records by \a records. Same precondition and error as append(). */
    absl::Status replaceAll(const std::vector<JournalRecord> &records);

    /** Returns \a record as stored in the file. Reentrant. */
    static std::string encodeRecord(const JournalRecord &record);
    /**
     * Decodes all complete records at the start of \a bytes and sets \a usableBytes to their total
     * size. Error: DataLoss if a damaged record is followed by an intact one. Reentrant.
     */
    static absl::StatusOr<std::vector<JournalRecord>> decodeRecords(const std::string &bytes,
                                                                    std::size_t &usableBytes);

private:
    absl::Status lockFolder(const std::string &folder);
    absl::Status writeAll(int file, const std::string &bytes) const;
    absl::Status syncFolder() const;
    [[nodiscard]] absl::Status systemError(const std::string &what) const;

    std::string m_folder;
    std::string m_path;
    int m_file = -1;
    int m_lockFile = -1;
};

} // namespace gentiancross
