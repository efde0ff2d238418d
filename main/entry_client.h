#pragma once

#include "drivers/http_client.h"
#include "main/arguments.h"
#include "main/command.h"

#include <json/json.h>

#include <map>
#include <string>

namespace gentiancross {

/** Which entry host a verb talks to, as whom, and how it prints. */
struct ClientOptions
{
    const std::string &entry;
    const bool &json;
};

/** Declares the flags that all verbs share. */
ClientOptions declareClientOptions(Arguments &arguments);

/** The key that callers' verbs present. */
inline constexpr char CallerKeyVariable[] = "GENTIANCROSS_KEY";
inline constexpr char OperatorKeyVariable[] = "GENTIANCROSS_OPERATOR_KEY";

/** One call of a verb to an entry host. */
struct EntryCall
{
    std::string method;
    std::string path;
    std::string keyVariable;
    /** Sent as Idempotency-Key if it is not empty. */
    std::string requestName;
    std::string body;
};

/** Makes the call and waits for its end. Thread safety: any thread. */
HttpResult callEntry(const std::string &entry, const EntryCall &call);

/** Makes the call, prints its answer, and says how it went. */
ExitCode callAndPrint(const ClientOptions &options, const EntryCall &call);

/** Prints a setting's error in one line; the help that was asked for is no error. */
ExitCode reportArgumentError(const absl::Status &status);

} // namespace gentiancross
