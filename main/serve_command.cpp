#include "main/serve_command.h"

#include "core/error.h"
#include "main/entry_host.h"
#include "main/serve_settings.h"

#include <iostream>

namespace gentiancross {

ExitCode ServeCommand::run(const std::vector<std::string> &words)
{
    const absl::StatusOr<ServeSettings> settings = readServeSettings(words);
    if (!settings.ok())
        return reportSettingsError(settings.status());
    const absl::Status status = runEntryHost(*settings);
    return status.ok() ? ExitCode::Success : reportSettingsError(status);
}

ExitCode CheckSettingsCommand::run(const std::vector<std::string> &words)
{
    const absl::StatusOr<ServeSettings> settings = readServeSettings(words);
    if (!settings.ok())
        return reportSettingsError(settings.status());
    std::cout << settings->describe();
    return ExitCode::Success;
}

} // namespace gentiancross
