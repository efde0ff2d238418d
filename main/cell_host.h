#pragma once

#include "platform/boot_settings.h"

#include <absl/status/status.h>

#include <string>

namespace gentiancross {

/** The checked settings of a host of a cell. */
struct CellSettings
{
    /** Path of the platform's settings file; it is read again when it changes. */
    std::string bootPath;
    platform::BootSettings boot;
    /** Where this host listens for other hosts. */
    std::string peerIp;
    std::string fleetSecret;
};

/** Runs a host of a cell until it is told to end. Errors of the addresses and of the disk. */
absl::Status runCellHost(const CellSettings &settings);

} // namespace gentiancross
