#include "main/version_command.h"

#include "drivers/codec.h"
#include "main/entry_client.h"

#include <iostream>

namespace gentiancross {

namespace {

constexpr char Version[] = "0.2.0";

} // namespace

ExitCode VersionCommand::run(const std::vector<std::string> &words)
{
    Arguments arguments(name(), summary());
    const bool &asJson = arguments.flag("json", "Print JSON");
    const absl::Status status = arguments.parse(words);
    if (!status.ok())
        return reportArgumentError(status);
    Json::Value json;
    json["gentiancross"] = Version;
    if (asJson)
        std::cout << codec::formatJson(json) << '\n';
    else
        std::cout << "gentiancross " << Version << '\n';
    return ExitCode::Success;
}

} // namespace gentiancross
