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
    // Test programs that run in parallel must not use the same port.
    return std::string("http://") + Ip + ':' + std::to_string(20'000 + ::getpid() % 20'000);
}

/** Answers every request, and counts start orders. */
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
    void advance(Milliseconds time) { m_now += time.value(); }

private:
    std::atomic<std::int64_t> m_now = 1'000'000;
};

/** Records the end of the only call. */
class CallEndRecorder final : public EventSink
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

TEST_CASE("An order is not sent after the authority's lease has expired while it was queued")
{
    // Guards against sending under an expired lease after a pause of the process. The lease was
    // checked when the client accepted the order, not when the order was sent.
    Worker worker;
    ManualClock clock;
    CallEndRecorder ends;
    HttpClient client;
    StartOrderSender sender(client, clock, ends);
    std::promise<void> isPaused;
    std::promise<void> resume;
    HttpCall pausing;
    pausing.method = "GET";
    pausing.url = address() + "/other";
    pausing.timeout = Milliseconds(20'000);
    client.start(std::move(pausing), [&](const HttpResult &) {
        isPaused.set_value();
        resume.get_future().wait();
    });
    isPaused.get_future().wait();
    StartTask start;
    start.call = CallId(1);
    start.address = address();
    start.worker = WorkerId("w");
    start.order.task = TaskId("t");
    start.validUntil = clock.now() + Milliseconds(100);
    start.timeout = Milliseconds(20'000);
    sender.carryOut(std::move(start));
    clock.advance(Milliseconds(200));
    resume.set_value();
    CHECK(ends.wait().outcome == CallOutcome::NotSent);
    CHECK(worker.orders() == 0);
}
