#include "servers/start_order_sender.h"

#include "drivers/http_listener.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <future>
#include <unistd.h>

using namespace gentiancross;

namespace {

constexpr char Ip[] = "127.9.9.4";

std::string address()
{
    // Test programs that run side by side must not meet.
    return std::string("http://") + Ip + ':' + std::to_string(20'000 + ::getpid() % 20'000);
}

/** Counts requests and answers each of them. */
class Worker final : public HttpHandler
{
public:
    Worker()
        : m_listener(*this, HttpListener::MaxCallerBodyBytes)
    {
        const auto port = static_cast<std::uint16_t>(20'000 + ::getpid() % 20'000);
        REQUIRE(m_listener.start(Ip, port).ok());
    }

    void handleRequest(HttpToken token, HttpRequest request) override
    {
        if (request.path == "/tasks")
            ++m_orders;
        m_listener.respond(token, {});
    }

    void handleDisconnect(HttpToken) override {}

    [[nodiscard]] int orders() const { return m_orders; }

private:
    std::atomic<int> m_orders = 0;
    HttpListener m_listener;
};

class ManualClock final : public Clock
{
public:
    [[nodiscard]] Instant now() const override { return Instant(m_now); }
    [[nodiscard]] Milliseconds wallTime() const override { return {}; }
    void pass(Milliseconds time) { m_now += time.value(); }

private:
    std::atomic<std::int64_t> m_now = 1'000'000;
};

/** Keeps the end of the one call that is made. */
class Ends final : public EventSink
{
public:
    void post(EventPayload payload) override
    {
        m_end.set_value(std::get<CallEnded>(std::move(payload)));
    }

    CallEnded wait() { return m_end.get_future().get(); }

private:
    std::promise<CallEnded> m_end;
};

} // namespace

TEST_CASE("An order does not leave after the authority's lease, however long it waited here")
{
    // Pattern: a process that was paused acted on a permission that had run out meanwhile. The
    // lease was looked at when the client took the order, not when its bytes left.
    Worker worker;
    ManualClock clock;
    Ends ends;
    HttpClient client;
    StartOrderSender link(client, clock, ends);
    std::promise<void> isPaused;
    std::promise<void> goesOn;
    HttpCall pausing;
    pausing.method = "GET";
    pausing.url = address() + "/other";
    pausing.timeout = Milliseconds(20'000);
    client.start(std::move(pausing), [&](const HttpResult &) {
        isPaused.set_value();
        goesOn.get_future().wait();
    });
    isPaused.get_future().wait();
    StartTask start;
    start.call = CallId(1);
    start.address = address();
    start.worker = WorkerId("w");
    start.order.task = TaskId("t");
    start.validUntil = clock.now() + Milliseconds(100);
    start.timeout = Milliseconds(20'000);
    link.carryOut(std::move(start));
    clock.pass(Milliseconds(200));
    goesOn.set_value();
    CHECK(ends.wait().outcome == CallOutcome::NotSent);
    CHECK(worker.orders() == 0);
}
