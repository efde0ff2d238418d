#include "servers/cell_metrics.h"

#include <catch2/catch.hpp>

using namespace gentiancross;

namespace {

/** Records the texts of log lines. */
class LogLineRecorder final : public EffectHandler
{
public:
    void carryOut(Effect effect) override
    {
        lines.push_back(std::get<LogLine>(std::move(effect)).what);
    }

    std::vector<std::string> lines;
};

bool has(const std::string &text, const std::string &line)
{
    return text.find('\n' + line + '\n') != std::string::npos;
}

} // namespace

TEST_CASE("All counters of a cell are exported under their names, including those at 0")
{
    LogLineRecorder log;
    CellMetrics metrics(log);
    CHECK(has(metrics.text(), "gentiancross_unexpected_runs_total 0"));
    metrics.carryOut(Measured{Instant(1),
                              {OrderCounted{OrderKind::Start},
                               OrderResultCounted{OrderKind::LeaseRenewal, OrderResult::Unanswered},
                               RunEndCounted{RunEnding::Lost, RunEndSource::ConcludedInherited},
                               RunEndCounted{RunEnding::Lapsed, RunEndSource::Concluded},
                               EventCounted{CellEvent::LeaseOfHeardWorkerLapsed, 1},
                               EventCounted{CellEvent::EndAfterLaterRun, 1},
                               EventCounted{CellEvent::EndHeldBack, 2},
                               EventCounted{CellEvent::LeadershipLost, 1},
                               EventCounted{CellEvent::ConnectionOpened, 3}}});
    const std::string text = metrics.text();
    CHECK(has(text, R"(gentiancross_orders_total{kind="start"} 1)"));
    CHECK(has(text, R"(gentiancross_orders_total{kind="stop"} 0)"));
    CHECK(has(text, R"(gentiancross_order_results_total{kind="hold",result="unanswered"} 1)"));
    CHECK(has(text, R"(gentiancross_order_results_total{kind="start",result="answered"} 0)"));
    CHECK(has(text,
              R"(gentiancross_runs_ended_total{ending="lost",source="concluded_inherited"} 1)"));
    CHECK(has(text, R"(gentiancross_runs_ended_total{ending="lapsed",source="concluded"} 1)"));
    CHECK(has(text, R"(gentiancross_leases_lapsed_total{heartbeats="heard"} 1)"));
    CHECK(has(text, R"(gentiancross_leases_lapsed_total{heartbeats="missing"} 0)"));
    CHECK(has(text, R"(gentiancross_ends_not_noted_total{reason="later_run"} 1)"));
    CHECK(has(text, R"(gentiancross_ends_not_noted_total{reason="held_back"} 2)"));
    CHECK(has(text, R"(gentiancross_leader_changes_total{change="lost"} 1)"));
    CHECK(has(text, "gentiancross_worker_connections_total 3"));
}

TEST_CASE("Times of a cell are exported with their quantiles, sum, count and maximum")
{
    LogLineRecorder log;
    CellMetrics metrics(log);
    Measurements measurements;
    for (int value = 1; value <= 100; ++value) {
        measurements.push_back(
                OrderSpanMeasured{OrderKind::Start, OrderSpan::Sent, Milliseconds(value)});
        measurements.push_back(SpanMeasured{Span::TickGap, Milliseconds(50)});
    }
    measurements.push_back(SpanMeasured{Span::EndDurable, Milliseconds(7)});
    metrics.carryOut(Measured{Instant(1), measurements});
    const std::string text = metrics.text();
    CHECK(has(text, R"(gentiancross_order_sent_milliseconds_sum{kind="start"} 5050)"));
    CHECK(has(text, R"(gentiancross_order_sent_milliseconds_count{kind="start"} 100)"));
    CHECK(has(text, R"(gentiancross_order_sent_milliseconds_max{kind="start"} 100)"));
    CHECK(has(text, R"(gentiancross_order_sent_milliseconds_count{kind="hold"} 0)"));
    CHECK(has(text, R"(gentiancross_tick_gap_milliseconds{quantile="0.99"} 50)"));
    CHECK(has(text, "gentiancross_end_durable_milliseconds_max 7"));
    // One value is too few for a quantile estimate.
    CHECK(text.find("gentiancross_end_durable_milliseconds{") == std::string::npos);
}

TEST_CASE(
        "Increased counters are logged at most once in five seconds, and nothing if none increased")
{
    LogLineRecorder log;
    CellMetrics metrics(log);
    const auto take = [&](std::int64_t at, Measurements measurements) {
        metrics.carryOut(Measured{Instant(at), std::move(measurements)});
    };
    const Measurement tick = SpanMeasured{Span::TickGap, Milliseconds(120)};
    const Measurement order = OrderCounted{OrderKind::Start};
    take(10'000, {tick});
    CHECK(log.lines.empty());
    take(10'050, {order, order});
    take(14'999, {order, tick});
    CHECK(log.lines.empty());
    take(15'000, {order});
    REQUIRE(log.lines.size() == 1);
    CHECK(log.lines[0] == "orders_total{kind=start}=4 longest_tick_gap_milliseconds=120");
    take(20'000, {tick});
    CHECK(log.lines.size() == 1);
}

// Guards against a profile that is lost, and against a log line every few seconds on a host where
// only time passes.
TEST_CASE("The control thread's time is exported, and logged only beside other changes")
{
    LogLineRecorder log;
    CellMetrics metrics(log);
    const Measurements times = {EventsHandled{EventKind::Advice, 3, Microseconds(70)},
                                ProcessorUsed{ProcessorPart::Process, Microseconds(900)}};
    metrics.carryOut(Measured{Instant(1), times});
    CHECK(log.lines.empty());
    const std::string text = metrics.text();
    CHECK(has(text, R"(gentiancross_control_events_total{event="advice"} 3)"));
    CHECK(has(text, R"(gentiancross_control_busy_microseconds_total{event="advice"} 70)"));
    CHECK(has(text, R"(gentiancross_control_busy_microseconds_total{event="other"} 0)"));
    CHECK(has(text, R"(gentiancross_processor_microseconds_total{part="process"} 900)"));
    Measurements withOrder = times;
    withOrder.emplace_back(OrderCounted{OrderKind::Start});
    metrics.carryOut(Measured{Instant(10'000), withOrder});
    REQUIRE(log.lines.size() == 1);
    CHECK(log.lines[0].find("control_busy_microseconds_total{event=advice}=140")
          != std::string::npos);
}
