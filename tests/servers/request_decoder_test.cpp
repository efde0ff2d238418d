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

TEST_CASE("Missing fields of a submission get their defaults")
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

TEST_CASE("Malformed bodies are refused with the step and a message")
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

// Guards against an announcement whose address names no port that can be called.
TEST_CASE("An announcement with an odd address, number or nesting is refused")
{
    const auto isAccepted = [](const std::string &field) {
        const std::string body
                = R"({"worker":"w","address":"http://10.0.0.1:80","data_centre":"d",)"
                  R"("session":"s","now_ms":5,"capacity":{"millicores":1000}})";
        const std::string name = field.substr(0, field.find(':'));
        const std::size_t from = body.find(name);
        REQUIRE(from != std::string::npos);
        const std::size_t to = body.find_first_of(",}", from);
        return decodeRequest(request("POST", "/v1/announcements",
                                     body.substr(0, from) + field + body.substr(to)),
                             fromCallers)
                .ok();
    };
    CHECK(isAccepted(R"("address":"http://10.0.0.1:65535")"));
    CHECK(isAccepted(R"("address":"http://10.0.0.1:80/w/3")"));
    const std::string nested = std::string(200'000, '[') + std::string(200'000, ']');
    for (const std::string &field :
         {std::string(R"("address":"http://10.0.0.1:99999")"),
          std::string(R"("address":"http://10.0.0.1:-1")"),
          std::string(R"("address":"http://10.0.0.1:0")"),
          std::string(R"("address":"http://10.0.0.1:12345678901234567890")"),
          std::string(R"("address":"http://10.0.0.1")"), std::string(R"("address":"10.0.0.1:80")"),
          std::string(R"("address":"http://10.0.0.1:80/x y")"),
          std::string(R"("address":"file://10.0.0.1:80")"), "\"address\":" + nested,
          std::string(R"("now_ms":1e308)"), std::string(R"("now_ms":1e400)"),
          std::string(R"("now_ms":18446744073709551616)"), std::string(R"("now_ms":-1)"),
          std::string(R"("millicores":1e308)"), std::string(R"("millicores":-1)"),
          std::string(R"("millicores":18446744073709551616)"), "\"now_ms\":" + nested}) {
        INFO(field.substr(0, 60));
        CHECK_FALSE(isAccepted(field));
    }
}

TEST_CASE("Ambiguous or malformed idempotency keys are refused")
{
    const auto *const name = GENERATE("~1", "a b", "a/b/c", "x:y", "/x", "x/", "\xc3\xa9");
    HttpRequest submission = request("POST", "/v1/requests", "{}");
    submission.headers["idempotency-key"] = name;
    CHECK_FALSE(decodeRequest(submission, fromCallers).ok());
}

TEST_CASE("Only another entry host can set a request's full name or shorten its deadline")
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

TEST_CASE("A malformed full name can't inject anything into a forwarded request")
{
    const auto *const name
            = GENERATE("a:b", "a:b:c:d", "a:b:", "a b:c:d", "a:b:c\r\nx-fleet-secret: y");
    const auto event
            = decodeRequest(request("GET", std::string("/v1/requests/") + name, ""), fromCallers);
    CHECK(absl::IsInvalidArgument(event.status()));
    CHECK(decodeRequest(request("GET", "/v1/requests/hobart:alpha:~x-1", ""), fromCallers).ok());
}

TEST_CASE("A request without a key is unauthenticated")
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

TEST_CASE("Unknown paths are reported as not found")
{
    const auto *const path = GENERATE("/", "/v2/requests", "/v1/nothing", "/v1/teams/a/b");
    CHECK(absl::IsNotFound(decodeRequest(request("GET", path, ""), fromCallers).status()));
}

// Guards against an overflow when the absolute value of the offset is computed.
TEST_CASE("The smallest 64-bit integer is refused as a UTC offset")
{
    HttpRequest page = request("GET", "/v1/report", "");
    page.query = {{"day", "2026-12-04"}, {"utc_offset_minutes", "-9223372036854775808"}};
    CHECK_FALSE(decodeRequest(page, fromCallers).ok());
    page.query["utc_offset_minutes"] = "600";
    CHECK(decodeRequest(page, fromCallers).ok());
}
