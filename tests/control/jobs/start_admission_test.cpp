#include "control/jobs/start_admission.h"

#include <catch2/catch.hpp>

using namespace gentiancross;

namespace {

/** Drives an admission with starts that are ordered and answered in sequence. */
class Starts
{
public:
    /** Orders as many starts as the admission allows. */
    std::size_t orderAll()
    {
        const std::size_t count = m_admission.availableStarts(m_now);
        for (std::size_t left = count; left > 0; --left)
            m_admission.onStartOrdered(m_now, CallId(++m_last));
        return count;
    }
    void answer(std::size_t count, WorkerVerdict verdict = WorkerVerdict::Done)
    {
        for (; count > 0; --count)
            m_admission.onCallAnswered(m_now, CallId(++m_answered), verdict);
    }
    void pass(std::int64_t milliseconds) { m_now = m_now + Milliseconds(milliseconds); }

    [[nodiscard]] std::size_t available() const { return m_admission.availableStarts(m_now); }
    [[nodiscard]] std::size_t limit() const { return m_admission.limit(); }

private:
    Instant m_now{10'000};
    DelayAdmission m_admission{AdmissionSettings()};
    std::uint64_t m_last = 0;
    std::uint64_t m_answered = 0;
};

} // namespace

TEST_CASE("No more starts than the limit are admitted until answers arrive")
{
    Starts starts;
    CHECK(starts.orderAll() == 128);
    CHECK(starts.available() == 0);
    starts.pass(20);
    starts.answer(5);
    CHECK(starts.available() == starts.limit() - 123);
}

TEST_CASE("A limit that is reached grows while answers arrive in time")
{
    Starts starts;
    for (int round = 0; round < 10; ++round) {
        const std::size_t count = starts.orderAll();
        starts.pass(50);
        starts.answer(count);
    }
    CHECK(starts.limit() == 390);
}

TEST_CASE("A limit that is not reached does not grow, so that idling does not raise it")
{
    Starts starts;
    starts.orderAll();
    starts.pass(20);
    starts.answer(128);
    const std::size_t limit = starts.limit();
    for (int round = 0; round < 20; ++round) {
        starts.pass(100);
        starts.answer(1);
    }
    CHECK(starts.limit() == limit);
}

TEST_CASE("Late answers shrink the limit again, but not below the initial one")
{
    Starts starts;
    for (int round = 0; round < 20; ++round) {
        const std::size_t count = starts.orderAll();
        starts.pass(50);
        starts.answer(count);
    }
    REQUIRE(starts.limit() > 400);
    for (int round = 0; round < 20; ++round) {
        const std::size_t count = starts.orderAll();
        starts.pass(250);
        starts.answer(count);
    }
    CHECK(starts.limit() == 128);
}

// Guards against a single slow worker that lowers the limit for all others.
TEST_CASE("One answer in time among late ones is enough to keep the limit")
{
    Starts starts;
    for (int round = 0; round < 20; ++round) {
        const std::size_t count = starts.orderAll();
        starts.pass(60);
        starts.answer(1);
        starts.pass(190);
        starts.answer(count - 1);
    }
    CHECK(starts.limit() >= 128);
}

TEST_CASE("Orders that were too old to be sent shrink the limit to its minimum")
{
    Starts starts;
    for (int round = 0; round < 20; ++round) {
        const std::size_t count = starts.orderAll();
        starts.pass(400);
        starts.answer(count, WorkerVerdict::NotSent);
    }
    CHECK(starts.limit() == 32);
}

// Guards against a stall of all starts because some workers are cut off.
TEST_CASE("Workers that do not answer delay other starts only for an order's validity")
{
    Starts starts;
    starts.orderAll();
    starts.pass(399);
    CHECK(starts.available() == 0);
    starts.pass(1);
    CHECK(starts.available() == 128);
    starts.pass(300);
    starts.answer(128, WorkerVerdict::NoAnswer);
    CHECK(starts.limit() == 128);
}
