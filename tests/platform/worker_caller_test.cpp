#include "platform/worker_caller.h"

#include "drivers/http_listener.h"
#include "servers/work_queue.h"

#include <catch2/catch.hpp>

#include <unistd.h>

using namespace gentiancross;

namespace {

constexpr char Ip[] = "127.9.9.3";

std::uint16_t port()
{
    // Test programs that run side by side must not meet.
    return static_cast<std::uint16_t>(20'000 + ::getpid() % 20'000);
}

class FixedClock final : public Clock
{
public:
    [[nodiscard]] Instant now() const override { return Instant(10'000); }
    [[nodiscard]] Milliseconds wallTime() const override { return Milliseconds(0); }
};

/** A worker that answers each call with an empty list. */
class Worker final : public HttpHandler
{
public:
    Worker()
        : m_listener(*this, HttpListener::MaxCallerBodyBytes)
    {}

    void handleRequest(HttpToken token, HttpRequest) override
    {
        HttpResponse response;
        response.body = std::make_shared<const std::string>("{}");
        m_listener.respond(token, std::move(response));
    }

    void handleDisconnect(HttpToken) override {}

    HttpListener &listener() { return m_listener; }

private:
    HttpListener m_listener;
};

class Answers final : public EventSink
{
public:
    void post(EventPayload payload) override
    {
        m_queue.put(std::get<WorkerAnswer>(std::move(payload)));
    }

    WorkerAnswer take() { return m_queue.takeAll().at(0); }

private:
    WorkQueue<WorkerAnswer> m_queue;
};

CallWorker makeHold(Milliseconds age)
{
    CallWorker call;
    call.call = CallId(1);
    call.address = std::string(Ip) + ':' + std::to_string(port());
    call.incarnation = {WorkerId("w"), Milliseconds(1)};
    call.order = OrderLeaseRenewal{};
    call.validUntil = Instant(10'000) - age + OrderValidity;
    call.timeout = Milliseconds(20'000);
    return call;
}

} // namespace

TEST_CASE("An answer tells how old its order was when it left, and which connections it took")
{
    Worker worker;
    REQUIRE(worker.listener().start(Ip, port()).ok());
    const FixedClock clock;
    Answers answers;
    HttpClient client(1);
    platform::WorkerCaller caller(client, clock, answers, {});
    caller.carryOut(makeHold(Milliseconds(70)));
    const WorkerAnswer first = answers.take();
    CHECK(first.cost.kind == OrderKind::LeaseRenewal);
    CHECK(first.cost.sentAfter == Milliseconds(70));
    CHECK(first.cost.newConnections == 1);
    caller.carryOut(makeHold(Milliseconds(0)));
    const WorkerAnswer second = answers.take();
    CHECK(second.cost.sentAfter == Milliseconds(0));
    CHECK(second.cost.newConnections == 0);
    // This one is too old to leave.
    caller.carryOut(makeHold(OrderValidity));
    const WorkerAnswer late = answers.take();
    CHECK(late.verdict == WorkerVerdict::NotSent);
    CHECK_FALSE(late.cost.sentAfter.has_value());
    client.stop();
    worker.listener().stop();
}
