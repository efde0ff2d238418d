#include "drivers/rpc/rpc_dispatcher.h"

#include "drivers/codec.h"
#include "drivers/rpc/rpc_envelope.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace gentiancross;

namespace {

struct RecordingDispatcher
{
    RpcDispatcher dispatcher{"deliver", [this](const std::string &text) { texts.push_back(text); }};
    std::vector<std::string> texts;
};

} // namespace

TEST_CASE("A composed call is valid JSON-RPC and is dispatched unchanged")
{
    const std::string json = R"(["host",[7,[1,"with \"quotes\" and ]}"]]])";
    const std::string call = rpcenvelope::wrap("deliver", json);
    Json::Value parsed;
    REQUIRE(codec::parseJson(call, parsed));
    CHECK(parsed["jsonrpc"] == "2.0");
    CHECK(parsed["method"] == "deliver");
    CHECK(parsed["params"].size() == 1);
    RecordingDispatcher recorder;
    CHECK(recorder.dispatcher.dispatch(call).empty());
    CHECK(recorder.texts == std::vector<std::string>{json});
}

TEST_CASE("An equivalent call with another layout is dispatched too")
{
    RecordingDispatcher recorder;
    const std::string call = R"({ "method": "deliver", "params": [ ["host"] ], "jsonrpc": "2.0" })";
    CHECK(recorder.dispatcher.dispatch(call).empty());
    REQUIRE(recorder.texts.size() == 1);
    Json::Value parsed;
    REQUIRE(codec::parseJson(recorder.texts.front(), parsed));
    CHECK(parsed[0] == "host");
}

TEST_CASE("An invalid call gets an error response or is passed on unchanged, without a crash")
{
    const std::string call = rpcenvelope::wrap("deliver", R"(["host"])");
    for (std::size_t size = 0; size < call.size(); ++size) {
        RecordingDispatcher recorder;
        CHECK_FALSE(recorder.dispatcher.dispatch(call.substr(0, size)).empty());
        CHECK(recorder.texts.empty());
    }
    RecordingDispatcher recorder;
    CHECK_FALSE(recorder.dispatcher.dispatch(rpcenvelope::wrap("other", R"(["host"])")).empty());
    CHECK_FALSE(recorder.dispatcher.dispatch(R"({"jsonrpc":"2.0","method":"deliver"})").empty());
    CHECK(recorder.texts.empty());
}

// Guards against a deeply nested call that crashed the process of the host that received it.
TEST_CASE("A call that is nested too deeply gets an error response, without a crash")
{
    RecordingDispatcher recorder;
    const std::string deep(100'000, '[');
    CHECK_FALSE(recorder.dispatcher.dispatch(deep).empty());
    CHECK_FALSE(
            recorder.dispatcher.dispatch(R"({"jsonrpc":"2.0","method":"deliver","params": )" + deep)
                    .empty());
    CHECK(recorder.texts.empty());
}
