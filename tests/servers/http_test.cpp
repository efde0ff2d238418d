#include "drivers/http_client.h"
#include "drivers/http_listener.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <future>
#include <mutex>
#include <unistd.h>

using namespace gentiancross;

namespace {

constexpr char Ip[] = "127.9.9.1";

std::uint16_t port()
{
    // Test programs that run in parallel must not use the same port.
    return static_cast<std::uint16_t>(20'000 + ::getpid() % 20'000);
}

/** Echoes the body of each request; leaves requests to /wait unanswered and reports their tokens.
 */
class Echo final : public HttpHandler
{
public:
    Echo()
        : m_listener(*this, HttpListener::MaxCallerBodyBytes)
    {}

    void handleRequest(HttpToken token, HttpRequest request) override
    {
        if (request.path == "/wait") {
            m_waiting.set_value(token);
            return;
        }
        HttpResponse response;
        response.body = std::make_shared<const std::string>(std::move(request.body));
        m_listener.respond(token, std::move(response));
    }

    void handleDisconnect(HttpToken) override {}

    HttpListener &listener() { return m_listener; }
    std::future<HttpToken> waiting() { return m_waiting.get_future(); }

private:
    HttpListener m_listener;
    std::promise<HttpToken> m_waiting;
};

HttpCall call(const std::string &path, const std::string &body)
{
    HttpCall call;
    call.method = "POST";
    call.url = std::string("http://") + Ip + ':' + std::to_string(port()) + path;
    call.body = std::make_shared<const std::string>(body);
    call.timeout = Milliseconds(20'000);
    return call;
}

std::future<HttpResult> start(HttpClient &client, HttpCall call)
{
    auto promise = std::make_shared<std::promise<HttpResult>>();
    client.start(std::move(call),
                 [promise](HttpResult result) { promise->set_value(std::move(result)); });
    return promise->get_future();
}

} // namespace

TEST_CASE("Bodies of several MiB arrive complete, and bodies above the limit are refused")
{
    Echo echo;
    REQUIRE(echo.listener().start(Ip, port()).ok());
    HttpClient client;
    const std::string large(5'000'000, 'q');
    const HttpResult whole = start(client, call("/", large)).get();
    CHECK(whole.outcome == CallOutcome::Answered);
    CHECK(*whole.response.body == large);
    const std::string tooLarge(HttpListener::MaxCallerBodyBytes + 1, 'q');
    const HttpResult refused = start(client, call("/", tooLarge)).get();
    CHECK(refused.response.status == 413);
}

TEST_CASE("A waiting request does not delay others, and a stop does not truncate its answer")
{
    Echo echo;
    REQUIRE(echo.listener().start(Ip, port()).ok());
    HttpClient client;
    std::future<HttpToken> waiting = echo.waiting();
    std::future<HttpResult> slow = start(client, call("/wait", "x"));
    const HttpToken token = waiting.get();
    CHECK(start(client, call("/", "quick")).get().outcome == CallOutcome::Answered);
    HttpResponse response;
    response.body = std::make_shared<const std::string>(std::string(3'000'000, 'z'));
    echo.listener().respond(token, response);
    echo.listener().stop();
    const HttpResult result = slow.get();
    CHECK(result.outcome == CallOutcome::Answered);
    CHECK(result.response.body->size() == 3'000'000);
}

TEST_CASE("An address that is in use is named in the error")
{
    Echo first;
    REQUIRE(first.listener().start(Ip, port()).ok());
    Echo second;
    const absl::Status status = second.listener().start("127.9.9.256", port());
    CHECK_FALSE(status.ok());
    HttpClient client;
    HttpCall nowhere = call("/", "x");
    nowhere.url = "http://127.9.9.2:1/";
    const HttpResult result = start(client, nowhere).get();
    CHECK(result.outcome == CallOutcome::NotSent);
}

TEST_CASE("A queued call that has become invalid is not sent")
{
    // Guards against a call that is sent after it expired while it waited for a free connection.
    Echo echo;
    REQUIRE(echo.listener().start(Ip, port()).ok());
    constexpr long OneConnection = 1;
    HttpClient client(OneConnection);
    std::future<HttpToken> waiting = echo.waiting();
    std::future<HttpResult> first = start(client, call("/wait", ""));
    const HttpToken token = waiting.get();
    std::atomic<bool> isValid = true;
    std::promise<void> asked;
    std::once_flag once;
    HttpCall second = call("/", "late");
    second.isValid = [&] {
        std::call_once(once, [&] { asked.set_value(); });
        return isValid.load();
    };
    std::future<HttpResult> late = start(client, std::move(second));
    asked.get_future().wait();
    isValid = false;
    HttpResponse response;
    response.body = std::make_shared<const std::string>("done");
    echo.listener().respond(token, std::move(response));
    CHECK(first.get().outcome == CallOutcome::Answered);
    const HttpResult result = late.get();
    CHECK(result.hasExpired);
    CHECK(result.outcome == CallOutcome::NotSent);
    client.stop();
    echo.listener().stop();
}
