#pragma once

#include "platform/boot_settings.h"

#include <absl/status/status.h>

#include <string>

namespace gentiancross {

/** The validated settings of a host of a cell. */
struct CellSettings
{
    /** Path of the platform's settings file, which is reloaded when it changes. */
    std::string bootPath;
    platform::BootSettings boot;
    /** The IP on which this host listens for other hosts. */
    std::string peerIp;
    std::string fleetSecret;
};

/** Runs a host of a cell until SIGTERM or SIGINT. Errors: those of the listeners and of the
 * journal. */
absl::Status runCellHost(const CellSettings &settings);

} // namespace gentiancross
