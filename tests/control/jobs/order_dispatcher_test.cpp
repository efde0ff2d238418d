#include "control/jobs/order_dispatcher.h"

#include "control/jobs/order_delegate.h"
#include "tests/control/jobs/job_fixture.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace gentiancross;
using namespace gentiancross::tests;

namespace {

constexpr Milliseconds Validity{400};
/** Offset of the keepers' clocks from the leader's. */
constexpr Milliseconds ClockOffset{5'000'000};

/** A leader's dispatcher with keepers that send a LeaderQuery twice a second. */
struct Leader
{
    void sendQuery(const std::string &keeper, const std::string &session = "first")
    {
        LeaderQuery query;
        query.isKeeper = true;
        query.session = SessionId(session + " session of " + keeper);
        query.sentAt = now + ClockOffset;
        dispatcher.recordQuery(now, HostId(keeper), query);
    }

    CallWorker makeCall(const std::string &worker)
    {
        CallWorker call;
        call.call = CallId(++lastCall);
        call.incarnation = makeIncarnation(worker);
        call.fence = Fence(3);
        call.order = OrderLeaseRenewal{};
        call.validUntil = now + Validity;
        call.timeout = Milliseconds(700);
        return call;
    }

    Effects dispatch(const std::vector<std::string> &workers)
    {
        Effects effects;
        for (const std::string &worker : workers)
            effects.emplace_back(makeCall(worker));
        dispatcher.dispatch(now, effects);
        return effects;
    }

    /** The host that sends the orders, by worker. */
    std::map<std::string, std::string> assign(const std::vector<std::string> &workers)
    {
        std::map<std::string, std::string> assigned;
        for (const Effect &effect : dispatch(workers)) {
            if (const auto *message = std::get_if<SendToPeer>(&effect)) {
                for (const CallWorker &call : std::get<WorkerOrders>(message->message).calls)
                    assigned[call.incarnation.worker.value()] = message->to.value();
            } else {
                assigned[std::get<CallWorker>(effect).incarnation.worker.value()] = "leader";
            }
        }
        return assigned;
    }

    bool answer(std::uint64_t call, WorkerVerdict verdict = WorkerVerdict::Done)
    {
        WorkerAnswer answer;
        answer.call = CallId(call);
        answer.verdict = verdict;
        return dispatcher.acceptAnswer(now, answer);
    }

    /** Makes the keeper return an order unsent. */
    void slowDown(const std::vector<std::string> &workers, const std::string &keeper)
    {
        for (const Effect &effect : dispatch(workers)) {
            const auto *message = std::get_if<SendToPeer>(&effect);
            if (message == nullptr || message->to.value() != keeper)
                continue;
            const CallId call = std::get<WorkerOrders>(message->message).calls.front().call;
            answer(call.value(), WorkerVerdict::NotSent);
        }
    }

    Instant now{1'000'000};
    OrderDispatcher dispatcher{HostId("leader")};
    std::uint64_t lastCall = 0;
};

std::vector<std::string> manyWorkers()
{
    constexpr int Workers = 540;
    std::vector<std::string> workers;
    workers.reserve(Workers);
    for (int number = 0; number < Workers; ++number)
        workers.push_back("w" + std::to_string(number));
    return workers;
}

} // namespace

TEST_CASE("Orders to hundreds of workers leave the leader in one message per keeper")
{
    // Guards against a leader whose load is mostly calls to workers, as with 540 workers.
    Leader leader;
    const std::vector<std::string> workers = manyWorkers();
    for (const auto &[worker, host] : leader.assign(workers))
        CHECK(host == "leader");
    for (const char *keeper : {"k1", "k2", "k3", "k4", "k5"})
        leader.sendQuery(keeper);
    CHECK(leader.dispatch(workers).size() == 5);
    std::map<std::string, std::size_t> share;
    for (const auto &[worker, host] : leader.assign(workers))
        ++share[host];
    CHECK_FALSE(share.contains("leader"));
    for (const auto &[host, count] : share)
        CHECK(count < workers.size() / 3);
}

TEST_CASE("Only a silent keeper's workers are reassigned, and at once")
{
    Leader leader;
    const std::vector<std::string> workers = manyWorkers();
    for (const char *keeper : {"k1", "k2", "k3", "k4"})
        leader.sendQuery(keeper);
    const std::map<std::string, std::string> before = leader.assign(workers);
    CHECK(leader.dispatcher.takeOverdue(leader.now).empty());
    leader.now = leader.now + Milliseconds(650);
    for (const char *keeper : {"k1", "k2", "k3"})
        leader.dispatcher.recordContact(leader.now, HostId(keeper));
    std::size_t ofSilent = 0;
    for (const auto &[worker, host] : leader.assign(workers)) {
        CHECK(host != "k4");
        if (before.at(worker) != "k4")
            CHECK(host == before.at(worker));
        else
            ++ofSilent;
    }
    // Its orders count as unanswered long before the workers' leases end.
    CHECK(leader.dispatcher.takeOverdue(leader.now).size() == ofSilent);
    CHECK(leader.dispatcher.takeOverdue(leader.now).empty());
}

TEST_CASE("An overdue answer and a repeated answer are not accepted")
{
    Leader leader;
    leader.sendQuery("k1");
    leader.dispatch({"w"});
    CHECK(leader.answer(1));
    CHECK_FALSE(leader.answer(1));
    leader.dispatch({"w"});
    for (int step = 0; step < 3; ++step) {
        leader.now = leader.now + Milliseconds(500);
        leader.sendQuery("k1");
    }
    CHECK(leader.dispatcher.takeOverdue(leader.now) == std::vector<CallId>{CallId(2)});
    CHECK_FALSE(leader.answer(2));
}

// Guards against a leader that mistakes the time an order was queued at its keeper for silence of
// the worker.
TEST_CASE("An order sent at the end of its validity still has its full time-out for the answer")
{
    Leader leader;
    leader.sendQuery("k1");
    leader.dispatch({"w"});
    for (int step = 0; step < 2; ++step) {
        leader.now = leader.now + Milliseconds(500);
        leader.sendQuery("k1");
    }
    // The order was sent after 390 ms, and the answer took another 660 ms.
    leader.now = leader.now + Milliseconds(50);
    CHECK(leader.dispatcher.takeOverdue(leader.now).empty());
    CHECK(leader.answer(1));
}

TEST_CASE("An order's validity on the keeper's clock never ends later than on the leader's")
{
    // Guards against a paused process that acts on a permission that has expired meanwhile.
    Leader leader;
    leader.sendQuery("k1");
    // The query was in transit for a while: the keeper's clock is ahead of what it reported.
    const Instant keeperSaid = leader.now + ClockOffset;
    constexpr Milliseconds OnTheWay{30};
    leader.now = leader.now + Milliseconds(300);
    const Effects effects = leader.dispatch({"w"});
    REQUIRE(effects.size() == 1);
    const auto &orders = std::get<WorkerOrders>(std::get<SendToPeer>(effects[0]).message);
    REQUIRE(orders.calls.size() == 1);
    const Instant until = orders.calls[0].validUntil;
    CHECK(until == keeperSaid + Milliseconds(300) + Validity);
    const Instant keeperNow = keeperSaid + OnTheWay + Milliseconds(300);
    CHECK(until <= keeperNow + Validity);
    CHECK(until > keeperNow);
}

TEST_CASE("A keeper drops orders of a former leader and those for its former process")
{
    // During a handover two leaders can be active for a moment and send orders twice.
    Leader leader;
    Outbox out(false);
    OrderDelegate delegate{SessionId("now")};
    WorkerOrders orders{SessionId("now"), {leader.makeCall("w")}};
    orders.calls[0].fence = Fence(4);
    delegate.receive(HostId("second"), orders, out);
    REQUIRE(out.take().size() == 1);
    orders.calls[0].fence = Fence(3);
    delegate.receive(HostId("first"), orders, out);
    orders.calls[0].fence = Fence(5);
    orders.session = SessionId("before");
    delegate.receive(HostId("third"), orders, out);
    for (const Effect &effect : out.take())
        CHECK(std::holds_alternative<LogLine>(effect));
}

// Guards against a second copy of a message with orders, which the sender's HTTP library may send
// when a connection breaks. The copy was too old to be sent, and that answer counted for the order
// that the worker had executed.
TEST_CASE("A keeper sends orders once although their message arrives twice")
{
    Leader leader;
    Outbox out(false);
    OrderDelegate delegate{SessionId("now")};
    WorkerOrders orders{SessionId("now"), {leader.makeCall("v"), leader.makeCall("w")}};
    delegate.receive(HostId("leader"), orders, out);
    CHECK(out.take().size() == 2);
    delegate.receive(HostId("leader"), orders, out);
    for (const Effect &effect : out.take())
        CHECK(std::holds_alternative<LogLine>(effect));
    // The next leader may use the same number.
    for (CallWorker &call : orders.calls)
        call.fence = call.fence.next();
    delegate.receive(HostId("next"), orders, out);
    CHECK(out.take().size() == 2);
}

TEST_CASE("A host that has just lost leadership forwards no answers to its own orders")
{
    Outbox out(false);
    OrderDelegate delegate{SessionId("now")};
    delegate.receive(Instant(1'000'000), WorkerAnswer(), out);
    delegate.flush(Instant(1'000'100), out);
    CHECK(out.take().empty());
}

TEST_CASE("Answers in quick succession are returned to the leader in one message")
{
    Leader leader;
    Outbox out(false);
    OrderDelegate delegate{SessionId("now")};
    WorkerOrders orders{SessionId("now"), {}};
    constexpr int Calls = 20;
    for (int number = 0; number < Calls; ++number)
        orders.calls.push_back(leader.makeCall("w"));
    delegate.receive(HostId("leader"), orders, out);
    out.take();
    for (int number = 1; number <= Calls; ++number) {
        WorkerAnswer answer;
        answer.call = CallId(std::uint64_t(number));
        delegate.receive(leader.now, answer, out);
    }
    delegate.flush(leader.now, out);
    std::size_t answers = 0;
    std::size_t messages = 0;
    for (const Effect &effect : out.take()) {
        ++messages;
        answers += std::get<WorkerAnswers>(std::get<SendToPeer>(effect).message).answers.size();
    }
    CHECK(answers == Calls);
    CHECK(messages == 2);
}

TEST_CASE("A keeper that returns orders unsent gets no orders for a while")
{
    // A keeper that rejoins installs a snapshot; meanwhile all orders to its workers expired.
    Leader leader;
    leader.sendQuery("k1");
    leader.sendQuery("k2");
    const std::string first = leader.assign({"w"})["w"];
    CHECK(leader.answer(1, WorkerVerdict::NotSent));
    const std::string second = leader.assign({"w"})["w"];
    CHECK(second != first);
    CHECK(second != "leader");
    for (int step = 0; step < 5; ++step) {
        leader.now = leader.now + Milliseconds(500);
        leader.sendQuery("k1");
        leader.sendQuery("k2");
    }
    CHECK(leader.assign({"w"})["w"] == first);
}

TEST_CASE("With eight keepers under load, those with a vote send the orders")
{
    // Links to voters carry each log entry anyway. Orders to other keepers and their answers are
    // separate messages, which add to the leader's load.
    Leader leader;
    for (const char *name : {"b", "c", "d", "e", "f"})
        leader.sendQuery(name);
    leader.dispatcher.setPreferred({HostId("leader"), HostId("b"), HostId("c"), HostId("d")});
    const std::vector<std::string> workers = manyWorkers();
    const std::map<std::string, std::string> before = leader.assign(workers);
    std::set<std::string> senders;
    for (const auto &[worker, keeper] : before)
        senders.insert(keeper);
    CHECK(senders == std::set<std::string>{"b", "c", "d"});
    // One is slow: only its workers are reassigned, to the other two.
    leader.slowDown(workers, "c");
    for (const auto &[worker, keeper] : leader.assign(workers)) {
        CHECK((keeper == "b" || keeper == "d"));
        CHECK((before.at(worker) == "c" || before.at(worker) == keeper));
    }
    // If none of them is usable, the other keepers send the orders.
    leader.slowDown(workers, "b");
    leader.slowDown(workers, "d");
    for (const auto &[worker, keeper] : leader.assign(workers))
        CHECK((keeper == "e" || keeper == "f"));
}

TEST_CASE("Orders given to a keeper's former process become overdue at once")
{
    // A keeper restarts within half a second, and its new process drops the orders. The leader must
    // not wait for answers as if the workers were slow.
    Leader leader;
    leader.sendQuery("k1");
    leader.dispatch({"w"});
    CHECK(leader.dispatcher.takeOverdue(leader.now).empty());
    leader.now = leader.now + Milliseconds(300);
    leader.sendQuery("k1", "second");
    CHECK(leader.dispatcher.takeOverdue(leader.now) == std::vector<CallId>{CallId(1)});
    CHECK_FALSE(leader.answer(1));
    leader.dispatch({"w"});
    CHECK(leader.dispatcher.takeOverdue(leader.now).empty());
}
