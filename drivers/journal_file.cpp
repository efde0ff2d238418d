#include "drivers/journal_file.h"

#include "core/error.h"
#include "drivers/random.h"
#include "drivers/text_codec.h"

#include <boost/crc.hpp>

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

namespace gentiancross {

namespace {

constexpr std::size_t HeaderBytes = 8;
constexpr std::size_t LengthBytes = 4;
constexpr std::size_t ReadChunkBytes = 1 << 20;
constexpr int BitsPerByte = 8;
constexpr mode_t PrivateFileMode = 0600;
constexpr mode_t PrivateFolderMode = 0700;

std::uint32_t checksum(const char *data, std::size_t size)
{
    boost::crc_32_type crc;
    crc.process_bytes(data, size);
    return crc.checksum();
}

void appendUint32(std::string &bytes, std::uint32_t number)
{
    for (std::size_t index = 0; index < LengthBytes; ++index)
        bytes.push_back(static_cast<char>(number >> (BitsPerByte * index)));
}

std::uint32_t readUint32(const std::string &bytes, std::size_t offset)
{
    std::uint32_t number = 0;
    for (std::size_t index = 0; index < LengthBytes; ++index) {
        const auto byte = static_cast<unsigned char>(bytes[offset + index]);
        number |= static_cast<std::uint32_t>(byte) << (BitsPerByte * index);
    }
    return number;
}

/** Returns true if a complete, undamaged record starts anywhere after \a offset. */
bool hasRecordAfter(const std::string &bytes, std::size_t offset)
{
    for (std::size_t start = offset + 1; start + HeaderBytes < bytes.size(); ++start) {
        const std::size_t length = readUint32(bytes, start);
        if (length == 0 || length > bytes.size() - start - HeaderBytes)
            continue;
        // Each record is a JSON array; testing the brackets first avoids most checksums.
        if (bytes[start + HeaderBytes] != '[' || bytes[start + HeaderBytes + length - 1] != ']')
            continue;
        if (checksum(bytes.data() + start + HeaderBytes, length)
            == readUint32(bytes, start + LengthBytes))
            return true;
    }
    return false;
}

} // namespace

JournalFile::~JournalFile()
{
    if (m_file >= 0)
        ::close(m_file);
    if (m_lockFile >= 0)
        ::close(m_lockFile);
}

std::string JournalFile::encodeRecord(const JournalRecord &record)
{
    const std::string text = codec::encode(record);
    std::string bytes;
    bytes.reserve(HeaderBytes + text.size());
    appendUint32(bytes, static_cast<std::uint32_t>(text.size()));
    appendUint32(bytes, checksum(text.data(), text.size()));
    bytes += text;
    return bytes;
}

absl::StatusOr<std::vector<JournalRecord>> JournalFile::decodeRecords(const std::string &bytes,
                                                                      std::size_t &usableBytes)
{
    std::vector<JournalRecord> records;
    std::size_t offset = 0;
    while (offset < bytes.size()) {
        const std::size_t left = bytes.size() - offset;
        const std::size_t length = left < HeaderBytes ? left : readUint32(bytes, offset);
        const bool isComplete = left >= HeaderBytes && length <= left - HeaderBytes;
        JournalRecord record;
        const bool isIntact = isComplete
                && checksum(bytes.data() + offset + HeaderBytes, length)
                        == readUint32(bytes, offset + LengthBytes)
                && codec::decodeText(std::string_view(bytes).substr(offset + HeaderBytes, length),
                                     record);
        if (!isIntact) {
            if (hasRecordAfter(bytes, offset))
                return makeError(absl::StatusCode::kDataLoss, Step::Journal, "",
                                 "damaged record at offset " + std::to_string(offset));
            break;
        }
        records.push_back(std::move(record));
        offset += HeaderBytes + length;
    }
    usableBytes = offset;
    return records;
}

absl::Status JournalFile::systemError(const std::string &what) const
{
    return makeError(absl::StatusCode::kInternal, Step::Journal, m_path,
                     what + ": " + std::strerror(errno));
}

absl::Status JournalFile::lockFolder(const std::string &folder)
{
    const std::string path = folder + "/lock";
    m_lockFile = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, PrivateFileMode);
    if (m_lockFile < 0)
        return systemError("cannot open the lock file");
    if (::flock(m_lockFile, LOCK_EX | LOCK_NB) != 0)
        return makeError(absl::StatusCode::kFailedPrecondition, Step::Journal, folder,
                         "another process has this data folder");
    return absl::OkStatus();
}

absl::StatusOr<std::vector<JournalRecord>> JournalFile::open(const std::string &folder)
{
    m_folder = folder;
    m_path = folder + "/state.journal";
    if (::mkdir(folder.c_str(), PrivateFolderMode) != 0 && errno != EEXIST)
        return systemError("cannot make the data folder");
    absl::Status locked = lockFolder(folder);
    if (!locked.ok())
        return locked;
    m_file = ::open(m_path.c_str(), O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, PrivateFileMode);
    if (m_file < 0)
        return systemError("cannot open the journal");
    std::string bytes;
    std::string chunk(ReadChunkBytes, '\0');
    ssize_t got = 0;
    while ((got = ::read(m_file, chunk.data(), chunk.size())) > 0)
        bytes.append(chunk, 0, static_cast<std::size_t>(got));
    if (got < 0)
        return systemError("cannot read the journal");
    std::size_t usableBytes = 0;
    absl::StatusOr<std::vector<JournalRecord>> records = decodeRecords(bytes, usableBytes);
    if (!records.ok())
        return makeError(absl::StatusCode::kDataLoss, Step::Journal, m_path,
                         std::string(records.status().message()));
    if (usableBytes < bytes.size() && ::ftruncate(m_file, static_cast<off_t>(usableBytes)) != 0)
        return systemError("cannot cut off the torn last record");
    absl::Status synced = sync();
    if (!synced.ok())
        return synced;
    synced = syncFolder();
    if (!synced.ok())
        return synced;
    return records;
}

absl::StatusOr<std::string> JournalFile::readOrCreateStoreName() const
{
    const std::string path = m_folder + "/store-name";
    std::string name;
    std::ifstream in(path);
    if (in >> name)
        return name;
    name = generateUniqueName();
    const int file
            = ::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, PrivateFileMode);
    if (file < 0)
        return systemError("cannot open the file of the store's name");
    absl::Status status = writeAll(file, name + '\n');
    if (status.ok() && ::fsync(file) != 0)
        status = systemError("cannot sync the store's name");
    ::close(file);
    if (status.ok())
        status = syncFolder();
    if (!status.ok())
        return status;
    return name;
}

absl::Status JournalFile::writeAll(int file, const std::string &bytes) const
{
    std::size_t written = 0;
    while (written < bytes.size()) {
        const ssize_t count = ::write(file, bytes.data() + written, bytes.size() - written);
        if (count < 0 && errno == EINTR)
            continue;
        if (count < 0)
            return systemError("cannot write");
        written += static_cast<std::size_t>(count);
    }
    return absl::OkStatus();
}

absl::Status JournalFile::append(const std::vector<JournalRecord> &records)
{
    std::string bytes;
    for (const JournalRecord &record : records)
        bytes += encodeRecord(record);
    return writeAll(m_file, bytes);
}

absl::Status JournalFile::sync()
{
    if (::fdatasync(m_file) != 0)
        return systemError("cannot sync");
    return absl::OkStatus();
}

absl::Status JournalFile::syncFolder() const
{
    const int folder = ::open(m_folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (folder < 0)
        return systemError("cannot open the data folder");
    const int failed = ::fsync(folder);
    ::close(folder);
    if (failed != 0)
        return systemError("cannot sync the data folder");
    return absl::OkStatus();
}

absl::Status JournalFile::replaceAll(const std::vector<JournalRecord> &records)
{
    const std::string temporary = m_path + ".new";
    const int file = ::open(temporary.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC,
                            PrivateFileMode);
    if (file < 0)
        return systemError("cannot open the new journal");
    ::close(m_file);
    m_file = file;
    absl::Status status = append(records);
    if (status.ok())
        status = sync();
    if (!status.ok())
        return status;
    if (::rename(temporary.c_str(), m_path.c_str()) != 0)
        return systemError("cannot put the new journal in place");
    return syncFolder();
}

} // namespace gentiancross
