#include "main/command.h"

#include "core/error.h"

#include <iostream>

namespace gentiancross {

ExitCode reportSettingsError(const absl::Status &status)
{
    if (absl::IsCancelled(status))
        return ExitCode::Success;
    std::cerr << "gentiancross: " << describeError(status) << '\n';
    return ExitCode::BadSettings;
}

} // namespace gentiancross
