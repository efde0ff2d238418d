#include "main/host_store.h"

#include "core/error.h"
#include "drivers/log.h"
#include "drivers/random.h"

#include <cstdlib>

namespace gentiancross {

absl::StatusOr<Beginning> openStore(const HostId &self, const std::string &folder,
                                    JournalFile &journal)
{
    Beginning beginning;
    beginning.identity.session = SessionId(self.value() + '.' + generateUniqueName());
    if (folder.empty()) {
        beginning.identity.replica = makeReplica(self, false, generateUniqueName());
        return beginning;
    }
    absl::StatusOr<std::vector<JournalRecord>> records = journal.open(folder);
    if (!records.ok())
        return records.status();
    absl::StatusOr<std::string> name = journal.readOrCreateStoreName();
    if (!name.ok())
        return name.status();
    beginning.identity.replica = makeReplica(self, true, *name);
    beginning.recovered.fresh = records->empty();
    beginning.recovered.records = *std::move(records);
    return beginning;
}

void exitAfterDiskFailure(const absl::Status &status)
{
    logWarning("journal", describeError(status));
    std::_Exit(EXIT_FAILURE);
}

} // namespace gentiancross
