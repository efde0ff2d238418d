#include "platform/worker_caller.h"

#include "drivers/http_listener.h"
#include "servers/work_queue.h"
#include "tests/drivers/served_port.h"

#include <catch2/catch.hpp>

#include <unistd.h>

using namespace gentiancross;

namespace {

constexpr char Ip[] = "127.9.9.3";

std::uint16_t port()
{
    // Test programs that run at the same time must not use the same port.
    return static_cast<std::uint16_t>(20'000 + ::getpid() % 20'000);
}

class FixedClock final : public Clock
{
public:
    [[nodiscard]] Instant now() const override { return Instant(10'000); }
    [[nodiscard]] Milliseconds wallTime() const override { return Milliseconds(0); }
};

/** A worker that answers each call with an empty object. */
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

/** Collects the posted answers. */
class AnswerQueue final : public EventSink
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

CallWorker makeLeaseRenewal(Milliseconds age)
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

TEST_CASE("An answer reports the age of its order when sent and the connections opened for it")
{
    Worker worker;
    REQUIRE(worker.listener().start(Ip, port()).ok());
    const FixedClock clock;
    AnswerQueue answers;
    HttpClient client(1);
    platform::WorkerCaller caller(client, clock, answers, {});
    caller.carryOut(makeLeaseRenewal(Milliseconds(70)));
    const WorkerAnswer first = answers.take();
    CHECK(first.cost.kind == OrderKind::LeaseRenewal);
    CHECK(first.cost.sentAfter == Milliseconds(70));
    CHECK(first.cost.newConnections == 1);
    caller.carryOut(makeLeaseRenewal(Milliseconds(0)));
    const WorkerAnswer second = answers.take();
    CHECK(second.cost.sentAfter == Milliseconds(0));
    CHECK(second.cost.newConnections == 0);
    // This order is too old to be sent.
    caller.carryOut(makeLeaseRenewal(OrderValidity));
    const WorkerAnswer late = answers.take();
    CHECK(late.verdict == WorkerVerdict::NotSent);
    CHECK_FALSE(late.cost.sentAfter.has_value());
    client.stop();
    worker.listener().stop();
}

// Guards against a task in two places: a worker executed a start and its connection broke before
// the answer. The library resent the start, and a refusal of that copy counted for the whole order,
// so that the task started elsewhere and its room was used again.
TEST_CASE("A refusal of a resent order does not say that the order was not executed")
{
    const std::string refusal = "HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n";
    tests::ServedPort port;
    const FixedClock clock;
    AnswerQueue answers;
    HttpClient client(1);
    platform::WorkerCaller caller(client, clock, answers, {});
    CallWorker start = makeLeaseRenewal(Milliseconds(0));
    start.address = port.address();
    start.order = OrderStart{{{JobId("00000000000000aa"), 0, 0}, 0},
                             RunNumber(1),
                             std::make_shared<const std::string>("payload"),
                             {},
                             {}};
    caller.carryOut(start);
    tests::ServedConnection connection = port.accept();
    connection.readRequest();
    connection.answer(refusal);
    CHECK(answers.take().verdict == WorkerVerdict::Refused);
    caller.carryOut(start);
    connection.readRequest();
    connection.close();
    const tests::ServedConnection next = port.accept();
    next.readRequest();
    next.answer(refusal);
    CHECK(answers.take().verdict == WorkerVerdict::NoAnswer);
    client.stop();
}
