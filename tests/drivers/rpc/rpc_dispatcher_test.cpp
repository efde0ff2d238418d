#include "drivers/rpc/rpc_dispatcher.h"

#include "drivers/codec.h"
#include "drivers/rpc/rpc_envelope.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace gentiancross;

namespace {

struct Taken
{
    RpcDispatcher dispatcher{"deliver", [this](const std::string &text) { texts.push_back(text); }};
    std::vector<std::string> texts;
};

} // namespace

TEST_CASE("A call comes out as it was put together, and is JSON-RPC")
{
    const std::string json = R"(["host",[7,[1,"with \"quotes\" and ]}"]]])";
    const std::string call = rpcenvelope::wrap("deliver", json);
    Json::Value parsed;
    REQUIRE(codec::parseJson(call, parsed));
    CHECK(parsed["jsonrpc"] == "2.0");
    CHECK(parsed["method"] == "deliver");
    CHECK(parsed["params"].size() == 1);
    Taken taken;
    CHECK(taken.dispatcher.dispatch(call).empty());
    CHECK(taken.texts == std::vector<std::string>{json});
}

TEST_CASE("A call in other words that mean the same is taken too")
{
    Taken taken;
    const std::string call = R"({ "method": "deliver", "params": [ ["host"] ], "jsonrpc": "2.0" })";
    CHECK(taken.dispatcher.dispatch(call).empty());
    REQUIRE(taken.texts.size() == 1);
    Json::Value parsed;
    REQUIRE(codec::parseJson(taken.texts.front(), parsed));
    CHECK(parsed[0] == "host");
}

TEST_CASE("Whatever is no call is answered with an error or handed on as it is, and ends nothing")
{
    const std::string call = rpcenvelope::wrap("deliver", R"(["host"])");
    for (std::size_t size = 0; size < call.size(); ++size) {
        Taken taken;
        CHECK_FALSE(taken.dispatcher.dispatch(call.substr(0, size)).empty());
        CHECK(taken.texts.empty());
    }
    Taken taken;
    CHECK_FALSE(taken.dispatcher.dispatch(rpcenvelope::wrap("other", R"(["host"])")).empty());
    CHECK_FALSE(taken.dispatcher.dispatch(R"({"jsonrpc":"2.0","method":"deliver"})").empty());
    CHECK(taken.texts.empty());
}

// Guards against a deeply nested call that ended the process of the host that took it in.
TEST_CASE("A call that is nested too deeply is answered with an error and ends nothing")
{
    Taken taken;
    const std::string deep(100'000, '[');
    CHECK_FALSE(taken.dispatcher.dispatch(deep).empty());
    CHECK_FALSE(
            taken.dispatcher.dispatch(R"({"jsonrpc":"2.0","method":"deliver","params": )" + deep)
                    .empty());
    CHECK(taken.texts.empty());
}
