#include "main/host_store.h"

#include "core/error.h"
#include "drivers/log.h"
#include "drivers/random.h"

#include <cstdlib>

namespace gentiancross {

absl::StatusOr<RecoveredHost> openStore(const HostId &self, const std::string &folder,
                                        JournalFile &journal)
{
    RecoveredHost host;
    host.identity.session = SessionId(self.value() + '.' + generateUniqueName());
    if (folder.empty()) {
        host.identity.replica = makeReplica(self, false, generateUniqueName());
        return host;
    }
    absl::StatusOr<std::vector<JournalRecord>> records = journal.open(folder);
    if (!records.ok())
        return records.status();
    absl::StatusOr<std::string> name = journal.readOrCreateStoreName();
    if (!name.ok())
        return name.status();
    host.identity.replica = makeReplica(self, true, *name);
    host.recovered.fresh = records->empty();
    host.recovered.records = *std::move(records);
    return host;
}

void exitAfterDiskFailure(const absl::Status &status)
{
    logWarning("journal", describeError(status));
    std::_Exit(EXIT_FAILURE);
}

} // namespace gentiancross
