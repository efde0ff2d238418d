#include "main/report_command.h"

#include "core/daily_report.h"
#include "core/error.h"
#include "drivers/codec.h"
#include "main/entry_client.h"

#include <absl/strings/str_cat.h>

namespace gentiancross {

namespace {

constexpr std::int64_t LongestLimit = WaitBounds.back().value();

} // namespace

ExitCode ReportCommand::run(const std::vector<std::string> &words)
{
    Arguments arguments(name(), summary());
    const ClientOptions options = declareClientOptions(arguments);
    const std::string &day = arguments.text("day", "YYYY-MM-DD");
    const std::string &format = arguments.text("format", "html, text or json", "text");
    const std::int64_t &offset
            = arguments.number("utc-offset-minutes", "The day's time zone, east of UTC", 0,
                               -MaxUtcOffsetMinutes, MaxUtcOffsetMinutes);
    const absl::Status status = arguments.parse(words);
    if (!status.ok())
        return reportArgumentError(status);
    const std::string path
            = absl::StrCat("/v1/report?day=", day, "&format=", options.json ? "json" : format,
                           "&utc_offset_minutes=", offset);
    return callAndPrint({options.entry, options.json || format == "json"},
                        {"GET", path, OperatorKeyVariable, {}, {}});
}

ExitCode PolicyCommand::run(const std::vector<std::string> &words)
{
    Arguments arguments(name(), summary());
    const ClientOptions options = declareClientOptions(arguments);
    const std::string &kind = arguments.word("kind", "short, batch, service or gang");
    const std::string &team = arguments.text("team", "Only for this team");
    const bool &urgent = arguments.flag("urgent", "For urgent work of the kind");
    const std::int64_t &limit = arguments.number(
            "wait-limit-ms", "The limit; 0 goes back to what holds otherwise", 0, 0, LongestLimit);
    const std::string &requestName
            = arguments.text("name", "Name of the change, to send again under");
    const absl::Status status = arguments.parse(words);
    if (!status.ok())
        return reportArgumentError(status);
    Json::Value json;
    json["team"] = team;
    json["urgent"] = urgent;
    json["limit_ms"] = Json::Int64(limit);
    return callAndPrint(options,
                        {"PUT", "/v1/wait-limits/" + kind, OperatorKeyVariable, requestName,
                         codec::formatJson(json)});
}

} // namespace gentiancross
