#pragma once

#include "control/host_directory.h"
#include "core/events.h"
#include "drivers/journal_file.h"

#include <absl/status/statusor.h>

#include <string>

namespace gentiancross {

/** What a host knows of itself before its first event. */
struct Beginning
{
    Identity identity;
    Recovered recovered;
};

/**
 * Opens the host's journal and reads what it holds; with an empty \a folder the host has no disk
 * and a name that lasts as long as its process. Errors as JournalFile::open.
 */
absl::StatusOr<Beginning> openStore(const HostId &self, const std::string &folder,
                                    JournalFile &journal);

/** Ends the process: nothing more can be promised, and the other replicas go on without it. */
[[noreturn]] void exitAfterDiskFailure(const absl::Status &status);

} // namespace gentiancross
