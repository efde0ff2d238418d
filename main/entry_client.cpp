#include "main/entry_client.h"

#include "core/error.h"
#include "drivers/codec.h"
#include "main/flat_text.h"

#include <future>
#include <iostream>

namespace gentiancross {

namespace {

constexpr Milliseconds LongestCall{610'000};
constexpr int HttpOk = 200;
constexpr int HttpAccepted = 202;
constexpr int HttpGatewayTimeout = 504;

void printBody(const ClientOptions &options, const HttpResponse &response)
{
    const auto type = response.headers.find("content-type");
    const bool isJson
            = type != response.headers.end() && type->second.find("json") != std::string::npos;
    Json::Value json;
    if (options.json || !isJson || !codec::parseJson(*response.body, json))
        std::cout << *response.body << std::flush;
    else
        std::cout << flattenToText(json);
}

ExitCode exitCodeOf(int status)
{
    if (status == HttpOk)
        return ExitCode::Success;
    if (status == HttpAccepted)
        return ExitCode::Pending;
    return status == HttpGatewayTimeout ? ExitCode::NoAnswer : ExitCode::Refused;
}

} // namespace

ClientOptions declareClientOptions(Arguments &arguments)
{
    return {arguments.text("entry", "IP:PORT of an entry host", "127.0.0.1:7000"),
            arguments.flag("json", "Print JSON")};
}

HttpResult callEntry(const std::string &entry, const EntryCall &call)
{
    HttpClient client;
    HttpCall http;
    http.method = call.method;
    http.url = "http://" + entry + call.path;
    http.headers["Authorization"] = "Bearer " + readEnvironment(call.keyVariable);
    http.headers["Content-Type"] = "application/json";
    if (!call.requestName.empty())
        http.headers["Idempotency-Key"] = call.requestName;
    if (!call.body.empty())
        http.body = std::make_shared<const std::string>(call.body);
    http.timeout = LongestCall;
    http.freshConnection = true;
    std::promise<HttpResult> promise;
    client.start(std::move(http),
                 [&promise](HttpResult result) { promise.set_value(std::move(result)); });
    return promise.get_future().get();
}

ExitCode callAndPrint(const ClientOptions &options, const EntryCall &call)
{
    const HttpResult result = callEntry(options.entry, call);
    if (result.outcome != CallOutcome::Answered) {
        std::cerr << "gentiancross: " << describeError(result.error) << '\n';
        return result.outcome == CallOutcome::NotSent ? ExitCode::Refused : ExitCode::NoAnswer;
    }
    printBody(options, result.response);
    return exitCodeOf(result.response.status);
}

ExitCode reportArgumentError(const absl::Status &status)
{
    if (absl::IsCancelled(status))
        return ExitCode::Success;
    std::cerr << "gentiancross: " << describeError(status) << '\n';
    return ExitCode::BadSettings;
}

} // namespace gentiancross
