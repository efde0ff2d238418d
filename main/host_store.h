#pragma once

#include "control/host_directory.h"
#include "core/events.h"
#include "drivers/journal_file.h"

#include <absl/status/statusor.h>

#include <string>

namespace gentiancross {

/** A host's identity and the state recovered from its journal, known before its first event. */
struct RecoveredHost
{
    Identity identity;
    Recovered recovered;
};

/**
 * Opens the host's journal and reads its records. With an empty \a folder the host has no disk, and
 * its replica id lasts only as long as its process. Errors: those of JournalFile::open and
 * JournalFile::readOrCreateStoreName.
 */
absl::StatusOr<RecoveredHost> openStore(const HostId &self, const std::string &folder,
                                        JournalFile &journal);

/** Exits the process, since without its disk it can no longer make changes durable; the other
 * replicas go on without it. */
[[noreturn]] void exitAfterDiskFailure(const absl::Status &status);

} // namespace gentiancross
