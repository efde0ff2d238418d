#pragma once

#include "control/host_directory.h"
#include "drivers/log.h"
#include "servers/http_frontend.h"

#include <absl/status/statusor.h>

#include <string>
#include <vector>

namespace gentiancross {

/** The checked settings of an entry host. */
struct ServeSettings
{
    HostDirectory directory;
    FrontendAddresses front;
    PeerAddresses peers;
    std::string operatorKey;
    /** Empty on a host without a disk. */
    std::string dataFolder;
    Milliseconds keyGrace;
    Milliseconds drainNotice;
    LogFormat logFormat = LogFormat::Text;
    /** True if what is printed is to be JSON. */
    bool printsJson = false;

    /** The settings without secrets, one a line, or as JSON if that was asked for. */
    [[nodiscard]] std::string describe() const;
};

/** Reads flags and variables, the verb first in \a words. Errors as Arguments::parse. */
absl::StatusOr<ServeSettings> readServeSettings(const std::vector<std::string> &words);

} // namespace gentiancross
