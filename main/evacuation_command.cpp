#include "main/evacuation_command.h"

#include "core/error.h"
#include "main/entry_client.h"

#include <absl/status/statusor.h>

#include <algorithm>
#include <cctype>

namespace gentiancross {

namespace {

/** True if the name needs no encoding in a path. */
bool isPlainName(const std::string &name)
{
    return !name.empty() && std::all_of(name.begin(), name.end(), [](unsigned char character) {
        return std::isalnum(character) != 0 || character == '-' || character == '_'
                || character == '.';
    });
}

absl::StatusOr<EntryCall> makeCall(const std::string &action, const std::string &dataCentre)
{
    const auto makeBadWord = [](const std::string &message) {
        return makeError(absl::StatusCode::kInvalidArgument, Step::Settings, "", message);
    };
    if (action == "list")
        return EntryCall{"GET", "/evacuations", OperatorKeyVariable, {}, {}};
    if (action != "begin" && action != "finish")
        return makeBadWord("the action must be begin, finish or list, not \"" + action + '"');
    if (!isPlainName(dataCentre))
        return makeBadWord("name the data centre by letters, digits, \"-\", \"_\" and \".\"");
    return EntryCall{
            "POST", "/evacuations/" + dataCentre + '/' + action, OperatorKeyVariable, {}, {}};
}

} // namespace

ExitCode EvacuationCommand::run(const std::vector<std::string> &words)
{
    Arguments arguments(name(), summary());
    const std::string &keeper = arguments.addText("keeper", "IP:PORT of a keeper's control address",
                                                  "127.0.0.1:8180");
    const bool &json = arguments.addFlag("json", "Print JSON");
    const std::string &action = arguments.addWord("action", "begin, finish or list");
    // The library allows one optional word in a process, so the word is declared only where needed.
    const auto hasWord = [&words](const char *word) {
        return std::find(words.begin(), words.end(), word) != words.end();
    };
    const bool isList = hasWord("list") && !hasWord("begin") && !hasWord("finish");
    const std::string none;
    const std::string &dataCentre
            = isList ? none : arguments.addWord("data-centre", "The data centre");
    const absl::Status status = arguments.parse(words);
    if (!status.ok())
        return reportArgumentError(status);
    const absl::StatusOr<EntryCall> call = makeCall(action, dataCentre);
    return call.ok() ? callAndPrint({keeper, json}, *call) : reportArgumentError(call.status());
}

} // namespace gentiancross
