#include "main/timeline_command.h"

#include "core/error.h"
#include "drivers/codec.h"
#include "main/entry_client.h"
#include "main/timeline_picture.h"

#include <absl/strings/str_split.h>

#include <algorithm>
#include <iostream>

namespace gentiancross {

namespace {

/** Reads one host's steps that concern \a subject; an empty one stands for all. */
bool collect(const std::string &entry, const std::string &subject, std::vector<Json::Value> &steps)
{
    const HttpResult result
            = callEntry(entry, {"GET", "/v1/timeline", OperatorKeyVariable, {}, {}});
    Json::Value json;
    if (result.outcome != CallOutcome::Answered || !codec::parseJson(*result.response.body, json)
        || !json.isObject()) {
        std::cerr << "gentiancross: network [" << entry
                  << "]: no time line from this host; the rest follows\n";
        return false;
    }
    for (const Json::Value &step : json["entries"]) {
        if (subject.empty() || step["subject"].asString().find(subject) != std::string::npos)
            steps.push_back(step);
    }
    return true;
}

bool isBefore(const Json::Value &first, const Json::Value &second)
{
    // Logical time goes first, since hosts' wall clocks may differ; it never contradicts a message.
    if (first["order"] != second["order"])
        return first["order"].asUInt64() < second["order"].asUInt64();
    return first["host"].asString() < second["host"].asString();
}

} // namespace

ExitCode TimelineCommand::run(const std::vector<std::string> &words)
{
    Arguments arguments(name(), summary());
    const std::string &entries
            = arguments.text("entries", "IP:PORT of the entry hosts, by comma", "127.0.0.1:7000");
    const std::string &subject
            = arguments.text("subject", "Only steps whose subject contains this");
    const bool &asJson = arguments.flag("json", "Print JSON, one step a line");
    const bool &asPicture = arguments.flag("picture", "Print an SVG picture");
    const absl::Status status = arguments.parse(words);
    if (!status.ok())
        return reportArgumentError(status);
    std::vector<Json::Value> steps;
    bool isWhole = true;
    for (const auto entry : absl::StrSplit(entries, ',', absl::SkipEmpty()))
        isWhole = collect(std::string(entry), subject, steps) && isWhole;
    std::stable_sort(steps.begin(), steps.end(), &isBefore);
    if (asPicture) {
        std::cout << drawTimeline(steps);
        return isWhole ? ExitCode::Success : ExitCode::NoAnswer;
    }
    for (const Json::Value &step : steps) {
        if (asJson)
            std::cout << codec::formatJson(step) << '\n';
        else
            std::cout << step["order"].asUInt64() << "  " << step["wall_ms"].asInt64() << "  "
                      << step["host"].asString() << "  " << step["subject"].asString() << "  "
                      << step["what"].asString() << '\n';
    }
    return isWhole ? ExitCode::Success : ExitCode::NoAnswer;
}

} // namespace gentiancross
