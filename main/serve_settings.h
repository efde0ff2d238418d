#pragma once

#include "control/host_directory.h"
#include "drivers/log.h"
#include "servers/http_frontend.h"

#include <absl/status/statusor.h>

#include <string>
#include <vector>

namespace gentiancross {

/** The validated settings of an entry host. */
struct ServeSettings
{
    HostDirectory directory;
    FrontendAddresses frontend;
    PeerAddresses peers;
    std::string operatorKey;
    /** Empty on a host without a disk. */
    std::string dataFolder;
    Milliseconds keyGrace;
    Milliseconds drainNotice;
    LogFormat logFormat = LogFormat::Text;
    /** True if output is printed as JSON. */
    bool printsJson = false;

    /** Formats the settings without secrets, one per line or as JSON. */
    [[nodiscard]] std::string describe() const;
};

/** Reads flags and environment variables; \a words starts with the verb. Errors: those of
 * Arguments::parse. */
absl::StatusOr<ServeSettings> readServeSettings(const std::vector<std::string> &words);

} // namespace gentiancross
