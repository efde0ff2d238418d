#include "main/client_commands.h"

#include "core/error.h"
#include "drivers/codec.h"
#include "main/entry_client.h"

#include <absl/strings/str_split.h>

#include <cstdint>
#include <iostream>

namespace gentiancross {

namespace {

constexpr std::int64_t LargestQuantity = 1LL << 40;
constexpr std::int64_t MostTasks = 10'000;
constexpr std::int64_t LongestDeadline = 600'000;
constexpr std::int64_t DefaultDeadline = 10'000;
constexpr char NewKeyVariable[] = "GENTIANCROSS_NEW_KEY";

Json::Int64 number(std::int64_t value)
{
    return value;
}

ExitCode badWord(const std::string &message)
{
    return reportArgumentError(
            makeError(absl::StatusCode::kInvalidArgument, Step::Settings, "", message));
}

class SubmitCommand final : public Command
{
public:
    [[nodiscard]] std::string name() const override { return "submit"; }
    [[nodiscard]] std::string summary() const override
    {
        return "sends work, with the key in GENTIANCROSS_KEY";
    }

    ExitCode run(const std::vector<std::string> &words) override
    {
        Arguments arguments(name(), summary());
        const ClientOptions options = declareClientOptions(arguments);
        const std::string &kind = arguments.text("kind", "short, batch, service or gang", "short");
        const std::string &requestName
                = arguments.text("name", "NAME or DATA-CENTRE/NAME, to send again under");
        const std::string &payload = arguments.text("payload", "What the worker gets");
        const std::string &selector = arguments.text("selector", "LABEL=VALUE,...");
        const std::int64_t &cores
                = arguments.number("millicores", "For each task", 1000, 1, LargestQuantity);
        const std::int64_t &memory
                = arguments.number("memory-mib", "For each task", 0, 0, LargestQuantity);
        const std::int64_t &accelerators
                = arguments.number("accelerators", "For each task", 0, 0, LargestQuantity);
        const std::int64_t &tasks = arguments.number("tasks", "Tasks of the job", 1, 1, MostTasks);
        const std::int64_t &deadline = arguments.number("deadline-ms", "For short requests",
                                                        DefaultDeadline, 1, LongestDeadline);
        const bool &urgent = arguments.flag("urgent", "Goes before other work");
        const bool &once
                = arguments.flag("at-most-once", "Must not run a second time, whatever happens");
        const absl::Status status = arguments.parse(words);
        if (!status.ok())
            return reportArgumentError(status);
        Json::Value json;
        json["kind"] = kind;
        json["resources"]["millicores"] = number(cores);
        json["resources"]["memory_mib"] = number(memory);
        json["resources"]["accelerators"] = number(accelerators);
        json["resources"]["slots"] = 1;
        json["tasks"] = number(tasks);
        json["deadline_ms"] = number(deadline);
        json["urgent"] = urgent;
        json["idempotent"] = !once;
        json["payload"] = payload;
        for (const auto part : absl::StrSplit(selector, ',', absl::SkipEmpty())) {
            const std::pair<std::string, std::string> label
                    = absl::StrSplit(part, absl::MaxSplits('=', 1));
            json["selector"][label.first] = label.second;
        }
        return callAndPrint(
                options,
                {"POST", "/v1/requests", CallerKeyVariable, requestName, codec::formatJson(json)});
    }
};

/** "status" and "cancel": one call that names a request. */
class RequestCommand final : public Command
{
public:
    RequestCommand(std::string name, std::string summary, std::string method)
        : m_name(std::move(name))
        , m_summary(std::move(summary))
        , m_method(std::move(method))
    {}

    [[nodiscard]] std::string name() const override { return m_name; }
    [[nodiscard]] std::string summary() const override { return m_summary; }

    ExitCode run(const std::vector<std::string> &words) override
    {
        Arguments arguments(m_name, m_summary);
        const ClientOptions options = declareClientOptions(arguments);
        const std::string &request = arguments.word("request", "The full name that submit printed");
        const absl::Status status = arguments.parse(words);
        if (!status.ok())
            return reportArgumentError(status);
        return callAndPrint(options,
                            {m_method, "/v1/requests/" + request, CallerKeyVariable, {}, {}});
    }

private:
    std::string m_name;
    std::string m_summary;
    std::string m_method;
};

/** "workers", "load" and "members": one query of operators. */
class QueryCommand final : public Command
{
public:
    QueryCommand(std::string name, std::string summary)
        : m_name(std::move(name))
        , m_summary(std::move(summary))
    {}

    [[nodiscard]] std::string name() const override { return m_name; }
    [[nodiscard]] std::string summary() const override { return m_summary; }

    ExitCode run(const std::vector<std::string> &words) override
    {
        Arguments arguments(m_name, m_summary);
        const ClientOptions options = declareClientOptions(arguments);
        const std::string &requestName
                = arguments.text("name", "Name of a change, to send again under");
        const std::string &voters
                = arguments.text("set-voters", "With members: the hosts that vote, by comma");
        const absl::Status status = arguments.parse(words);
        if (!status.ok())
            return reportArgumentError(status);
        const std::string path = "/v1/" + m_name;
        if (m_name != "members" || voters.empty())
            return callAndPrint(options, {"GET", path, OperatorKeyVariable, {}, {}});
        Json::Value json;
        for (const auto voter : absl::StrSplit(voters, ',', absl::SkipEmpty()))
            json["voters"].append(std::string(voter));
        return callAndPrint(
                options, {"PUT", path, OperatorKeyVariable, requestName, codec::formatJson(json)});
    }

private:
    std::string m_name;
    std::string m_summary;
};

class TeamCommand final : public Command
{
public:
    [[nodiscard]] std::string name() const override { return "team"; }
    [[nodiscard]] std::string summary() const override
    {
        return "shows teams, or makes or changes one";
    }

    ExitCode run(const std::vector<std::string> &words) override
    {
        Arguments arguments(name(), summary());
        const ClientOptions options = declareClientOptions(arguments);
        const std::string &action = arguments.word("action", "show or put");
        const std::string &team = arguments.word("team", "The team's name; all, to show all");
        const std::string &requestName
                = arguments.text("name", "Name of the change, to send again under");
        const std::int64_t &weight
                = arguments.number("weight", "The team's share", 1, 1, LargestQuantity);
        const std::int64_t &limit = arguments.number(
                "limit-millicores", "What it may run over the fleet", 0, 0, LargestQuantity);
        const std::int64_t &expected = arguments.number(
                "expected-version", "The version that the change was made from; 0 for a new team",
                0, 0, LargestQuantity);
        const absl::Status status = arguments.parse(words);
        if (!status.ok())
            return reportArgumentError(status);
        if (action == "show")
            return callAndPrint(options, {"GET", "/v1/teams", OperatorKeyVariable, {}, {}});
        if (action != "put")
            return badWord("the action must be show or put, not \"" + action + '"');
        Json::Value json;
        json["weight"] = number(weight);
        json["limit_millicores"] = number(limit);
        json["expected_version"] = number(expected);
        return callAndPrint(options,
                            {"PUT", "/v1/teams/" + team, OperatorKeyVariable, requestName,
                             codec::formatJson(json)});
    }
};

class KeyCommand final : public Command
{
public:
    [[nodiscard]] std::string name() const override { return "key"; }
    [[nodiscard]] std::string summary() const override
    {
        return "grants a key, whose secret is in GENTIANCROSS_NEW_KEY, or withdraws one";
    }

    ExitCode run(const std::vector<std::string> &words) override
    {
        Arguments arguments(name(), summary());
        const ClientOptions options = declareClientOptions(arguments);
        const std::string &action = arguments.word("action", "grant or withdraw");
        const std::string &team = arguments.word("team", "The team");
        const std::string &key = arguments.word("key", "The key's name");
        const std::string &requestName
                = arguments.text("name", "Name of the change, to send again under");
        const absl::Status status = arguments.parse(words);
        if (!status.ok())
            return reportArgumentError(status);
        const std::string path = "/v1/teams/" + team + "/keys/" + key;
        if (action == "withdraw")
            return callAndPrint(options, {"DELETE", path, OperatorKeyVariable, requestName, {}});
        if (action != "grant")
            return badWord("the action must be grant or withdraw, not \"" + action + '"');
        Json::Value json;
        json["secret"] = readEnvironment(NewKeyVariable);
        if (json["secret"].asString().empty())
            return badWord("put the new key's secret into " + std::string(NewKeyVariable));
        return callAndPrint(
                options, {"PUT", path, OperatorKeyVariable, requestName, codec::formatJson(json)});
    }
};

} // namespace

std::vector<std::unique_ptr<Command>> makeClientCommands()
{
    std::vector<std::unique_ptr<Command>> commands;
    commands.push_back(std::make_unique<SubmitCommand>());
    commands.push_back(
            std::make_unique<RequestCommand>("status", "says what is known of a request", "GET"));
    commands.push_back(std::make_unique<RequestCommand>("cancel", "ends a request", "DELETE"));
    commands.push_back(std::make_unique<TeamCommand>());
    commands.push_back(std::make_unique<KeyCommand>());
    commands.push_back(std::make_unique<QueryCommand>(
            "workers", "shows the workers that the entry host decides for"));
    commands.push_back(std::make_unique<QueryCommand>(
            "members", "shows the entry hosts, or sets the log's voters"));
    commands.push_back(std::make_unique<QueryCommand>(
            "load", "shows what the entry host decides and has decided"));
    return commands;
}

} // namespace gentiancross
