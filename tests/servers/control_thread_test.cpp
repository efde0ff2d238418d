#include "servers/control_thread.h"

#include <catch2/catch.hpp>

#include <map>

using namespace gentiancross;

namespace {

/** A clock that advances by 600 ms with each reading. */
class SteppingClock final : public Clock
{
public:
    [[nodiscard]] Instant now() const override
    {
        m_now = m_now + Milliseconds(600);
        return m_now;
    }
    [[nodiscard]] Milliseconds wallTime() const override { return {}; }

private:
    mutable Instant m_now{10'000};
};

class IdleReducer final : public Reducer
{
public:
    Effects reduce(const Event &) override { return {}; }
};

/** Sums up the events that were reported, by kind. */
class ReportSum final : public EffectHandler
{
public:
    void carryOut(Effect effect) override
    {
        ++reports;
        for (const Measurement &measurement : std::get<Measured>(effect).measurements) {
            if (const auto *handled = std::get_if<EventsHandled>(&measurement))
                events[handled->kind] += handled->events;
            else if (std::get<ProcessorUsed>(measurement).time < Microseconds(0))
                isProcessorTimeValid = false;
        }
    }

    std::map<EventKind, std::uint64_t> events;
    int reports = 0;
    bool isProcessorTimeValid = true;
};

} // namespace

// Guards against a profile of a running leader that counts events under the wrong kind or twice, or
// that is reported with each event.
TEST_CASE("The control thread reports what it has handled by kind of event")
{
    const SteppingClock clock;
    IdleReducer reducer;
    ReportSum sum;
    ControlThread control(reducer, clock);
    control.setEffectHandler(&sum);
    control.post(Ticked{});
    control.post(PeerMessageReceived{HostId("e1"),
                                     RelayCallRequest{ExchangeId(1), WorkerHeartbeat{}, {}}});
    control.post(PeerMessageReceived{HostId("k1"), WorkerAnswers{}});
    WorkerAnswer started;
    started.cost.kind = OrderKind::Start;
    control.post(started);
    control.post(ShutdownRequested{});
    control.start();
    control.stop();
    CHECK(sum.reports == 3);
    CHECK(sum.events
          == std::map<EventKind, std::uint64_t>{{EventKind::Tick, 1},
                                                {EventKind::Heartbeat, 1},
                                                {EventKind::WorkerAnswers, 1},
                                                {EventKind::StartAnswer, 1},
                                                {EventKind::Other, 1}});
    CHECK(sum.isProcessorTimeValid);
}
