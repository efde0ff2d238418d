#pragma once

#include "drivers/http_client.h"
#include "main/arguments.h"
#include "main/command.h"

#include <json/json.h>

#include <map>
#include <string>

namespace gentiancross {

/** The entry host that a verb calls, and whether it prints JSON. */
struct ClientOptions
{
    const std::string &entry;
    const bool &json;
};

/** Declares the flags that all calling verbs share. */
ClientOptions declareClientOptions(Arguments &arguments);

/** Environment variables with the keys of callers and of operators. */
inline constexpr char CallerKeyVariable[] = "GENTIANCROSS_KEY";
inline constexpr char OperatorKeyVariable[] = "GENTIANCROSS_OPERATOR_KEY";

/** A verb's call to an entry host. */
struct EntryCall
{
    std::string method;
    std::string path;
    std::string keyVariable;
    /** Sent as Idempotency-Key unless empty. */
    std::string requestName;
    std::string body;
};

/** Makes the call and blocks until it ends. Thread safety: any thread. */
HttpResult callEntry(const std::string &entry, const EntryCall &call);

/** Makes the call, prints its answer, and returns the exit code for its result. */
ExitCode callAndPrint(const ClientOptions &options, const EntryCall &call);

/** Prints an invalid argument's error on one line; requested help is not an error. */
ExitCode reportArgumentError(const absl::Status &status);

} // namespace gentiancross
