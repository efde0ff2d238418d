#include "tests/drivers/served_port.h"

#include <atomic>
#include <future>
#include <memory>
#include <thread>

using namespace gentiancross;
using namespace gentiancross::tests;

namespace {

std::future<HttpResult> start(HttpClient &client, HttpCall call)
{
    auto promise = std::make_shared<std::promise<HttpResult>>();
    client.start(std::move(call),
                 [promise](HttpResult result) { promise->set_value(std::move(result)); });
    return promise->get_future();
}

/** Returns the connection of a call that was answered, which the client's next call uses again. */
std::unique_ptr<ServedConnection> openConnection(HttpClient &client, const ServedPort &port)
{
    std::future<HttpResult> first = start(client, port.call());
    auto connection = std::unique_ptr<ServedConnection>(new ServedConnection(port.accept()));
    connection->readRequest();
    connection->answer();
    const HttpResult result = first.get();
    REQUIRE(result.outcome == CallOutcome::Answered);
    REQUIRE_FALSE(result.wasResent);
    return connection;
}

} // namespace

TEST_CASE("A call that was sent once is not reported as unsent when its resend has expired")
{
    // Guards against the case that connections are reset while workers execute orders: the library
    // resends on a new connection, and only the resend determined the result.
    ServedPort port;
    HttpClient client;
    const auto connection = openConnection(client, port);
    std::atomic<bool> isValid = true;
    HttpCall call = port.call();
    call.isValid = [&] { return isValid.load(); };
    std::future<HttpResult> second = start(client, std::move(call));
    connection->readRequest();
    isValid = false;
    connection->close();
    const HttpResult result = second.get();
    CHECK_FALSE(result.hasExpired);
    CHECK(result.outcome == CallOutcome::Broken);
}

TEST_CASE("A call that was sent once is not reported as unsent when its resend cannot connect")
{
    // Guards against the case that a host stops after it has accepted a request: the caller was
    // told that the host had not accepted it.
    ServedPort port;
    HttpClient client;
    const auto connection = openConnection(client, port);
    std::future<HttpResult> second = start(client, port.call());
    connection->readRequest();
    port.close();
    connection->close();
    CHECK(second.get().outcome == CallOutcome::Broken);
}

// Guards against an answer to the second copy of a request that is taken for the only one.
TEST_CASE("A response to a resent request says that it was sent before")
{
    ServedPort port;
    HttpClient client;
    const auto connection = openConnection(client, port);
    std::future<HttpResult> second = start(client, port.call());
    connection->readRequest();
    connection->close();
    const ServedConnection next = port.accept();
    next.readRequest();
    next.answer();
    const HttpResult result = second.get();
    CHECK(result.outcome == CallOutcome::Answered);
    CHECK(result.wasResent);
}

TEST_CASE("A response that has arrived is read before its call times out")
{
    // Guards against a process that was paused, or got no processor time, and then treated workers
    // as silent although their responses had arrived.
    constexpr Milliseconds Timeout{500};
    ServedPort port;
    HttpClient client;
    std::promise<void> paused;
    std::promise<void> mayResume;
    client.start(port.call(), [&](const HttpResult &) {
        paused.set_value();
        mayResume.get_future().wait();
    });
    ServedConnection pausing = port.accept();
    pausing.readRequest();
    std::future<HttpResult> answered = start(client, port.call(Timeout));
    ServedConnection served = port.accept();
    served.readRequest();
    std::future<HttpResult> silent = start(client, port.call(Timeout));
    ServedConnection unserved = port.accept();
    unserved.readRequest();
    pausing.answer();
    paused.get_future().wait();
    served.answer();
    std::this_thread::sleep_for(std::chrono::milliseconds((Timeout + Timeout).value()));
    mayResume.set_value();
    CHECK(answered.get().outcome == CallOutcome::Answered);
    CHECK(silent.get().outcome == CallOutcome::Broken);
}
