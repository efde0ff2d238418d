#include "main/cell_command.h"

#include "core/error.h"
#include "main/arguments.h"
#include "main/cell_host.h"

namespace gentiancross {

namespace {

constexpr std::size_t LeastSecret = 8;

absl::StatusOr<CellSettings> readSettings(const std::vector<std::string> &words)
{
    Arguments arguments("cell", "runs a host of a cell on a platform");
    const std::string &path = arguments.text("boot", "The platform's settings file");
    const std::string &peerIp = arguments.text(
            "peer-ip", "Where to listen for other hosts, if their connections are forwarded here");
    absl::Status status = arguments.parse(words);
    if (!status.ok())
        return status;
    CellSettings settings;
    settings.bootPath = path;
    settings.fleetSecret = readEnvironment("GENTIANCROSS_FLEET_SECRET");
    if (settings.fleetSecret.size() < LeastSecret)
        return makeError(absl::StatusCode::kInvalidArgument, Step::Settings, "",
                         "GENTIANCROSS_FLEET_SECRET must hold 8 characters or more");
    absl::StatusOr<platform::BootSettings> boot = platform::readBootSettings(path);
    if (!boot.ok())
        return boot.status();
    settings.boot = *std::move(boot);
    settings.peerIp = peerIp.empty() ? settings.boot.ip : peerIp;
    return settings;
}

} // namespace

ExitCode CellCommand::run(const std::vector<std::string> &words)
{
    const absl::StatusOr<CellSettings> settings = readSettings(words);
    if (!settings.ok())
        return reportSettingsError(settings.status());
    const absl::Status status = runCellHost(*settings);
    return status.ok() ? ExitCode::Success : reportSettingsError(status);
}

} // namespace gentiancross
