#include "servers/request_decoder.h"

#include "core/error.h"

#include <catch2/catch.hpp>

using namespace gentiancross;

namespace {

HttpRequest request(const std::string &method, const std::string &path, const std::string &body)
{
    HttpRequest request;
    request.method = method;
    request.path = path;
    request.body = body;
    request.headers["authorization"] = "Bearer secret-key";
    return request;
}

const RequestOrigin fromCallers{ExchangeId(7), false, "fleet"};
const RequestOrigin fromPeers{ExchangeId(7), true, "fleet"};

} // namespace

TEST_CASE("A submission is read with its defaults")
{
    const auto event
            = decodeRequest(request("POST", "/v1/requests", R"({"payload":"x"})"), fromCallers);
    REQUIRE(event.ok());
    const auto &submit = std::get<SubmitReceived>(*event);
    CHECK(submit.spec.kind == WorkKind::Short);
    CHECK(submit.spec.perTask.cores == MilliCores(1000));
    CHECK(submit.spec.perTask.slots == Slots(1));
    CHECK(submit.spec.payload.bytes == "x");
    CHECK_FALSE(submit.caller.forwarded);
    CHECK(submit.caller.key.value().find("secret") == std::string::npos);
}

TEST_CASE("Malformed bodies are refused with the step and what is wrong")
{
    const auto *const body
            = GENERATE("", "[]", "{", R"({"kind":"odd"})", R"({"tasks":0})", R"({"tasks":"many"})",
                       R"({"resources":{"millicores":-1}})", R"({"deadline_ms":0})",
                       R"({"selector":{"a":1}})", R"({"kind":"short","tasks":2})");
    const auto event = decodeRequest(request("POST", "/v1/requests", body), fromCallers);
    REQUIRE_FALSE(event.ok());
    CHECK(absl::IsInvalidArgument(event.status()));
    CHECK(errorStep(event.status()) == "decode");
    CHECK_FALSE(event.status().message().empty());
}

TEST_CASE("Names that could be taken for something else are refused")
{
    const auto *const name = GENERATE("~1", "a b", "a/b/c", "x:y", "/x", "x/", "\xc3\xa9");
    HttpRequest submission = request("POST", "/v1/requests", "{}");
    submission.headers["idempotency-key"] = name;
    CHECK_FALSE(decodeRequest(submission, fromCallers).ok());
}

TEST_CASE("Only another entry host can give a request its full name or shorten its deadline")
{
    HttpRequest submission = request("POST", "/v1/requests", "{}");
    submission.headers[RequestNameHeader] = "hobart:t:x";
    submission.headers[RemainingTimeHeader] = "250";
    const auto fromCaller = decodeRequest(submission, fromCallers);
    REQUIRE(fromCaller.ok());
    CHECK(std::get<SubmitReceived>(*fromCaller).requestName.empty());
    CHECK(std::get<SubmitReceived>(*fromCaller).spec.deadline == Milliseconds(10'000));
    const auto fromPeer = decodeRequest(submission, fromPeers);
    REQUIRE(fromPeer.ok());
    CHECK(std::get<SubmitReceived>(*fromPeer).requestName == "hobart:t:x");
    CHECK(std::get<SubmitReceived>(*fromPeer).spec.deadline == Milliseconds(250));
}

TEST_CASE("A request's full name can't smuggle anything into what is passed on")
{
    const auto *const name
            = GENERATE("a:b", "a:b:c:d", "a:b:", "a b:c:d", "a:b:c\r\nx-fleet-secret: y");
    const auto event
            = decodeRequest(request("GET", std::string("/v1/requests/") + name, ""), fromCallers);
    CHECK(absl::IsInvalidArgument(event.status()));
    CHECK(decodeRequest(request("GET", "/v1/requests/hobart:alpha:~x-1", ""), fromCallers).ok());
}

TEST_CASE("Without a key there is no event")
{
    HttpRequest submission = request("POST", "/v1/requests", "{}");
    submission.headers.clear();
    CHECK(absl::IsUnauthenticated(decodeRequest(submission, fromCallers).status()));
}

TEST_CASE("Operators' changes carry their command and name")
{
    HttpRequest change = request("PUT", "/v1/teams/alpha",
                                 R"({"limit_millicores":5000,"weight":2,"expected_version":3})");
    change.headers["idempotency-key"] = "change-1";
    const auto event = decodeRequest(change, fromCallers);
    REQUIRE(event.ok());
    const auto &received = std::get<OperatorChangeReceived>(*event);
    CHECK(received.requestName == "change-1");
    const auto &command = std::get<PutTeam>(std::get<ReplicatedCommand>(received.change));
    CHECK(command.team == TeamId("alpha"));
    CHECK(command.limit == MilliCores(5000));
    CHECK(command.expected == ObjectVersion(3));
}

TEST_CASE("Unknown paths are told apart from malformed ones")
{
    const auto *const path = GENERATE("/", "/v2/requests", "/v1/nothing", "/v1/teams/a/b");
    CHECK(absl::IsNotFound(decodeRequest(request("GET", path, ""), fromCallers).status()));
}

// Guards against an offset whose absolute value is no number.
TEST_CASE("The smallest number is no time zone")
{
    HttpRequest page = request("GET", "/v1/report", "");
    page.query = {{"day", "2026-12-04"}, {"utc_offset_minutes", "-9223372036854775808"}};
    CHECK_FALSE(decodeRequest(page, fromCallers).ok());
    page.query["utc_offset_minutes"] = "600";
    CHECK(decodeRequest(page, fromCallers).ok());
}
