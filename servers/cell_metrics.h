#pragma once

#include "servers/event_sink.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace gentiancross {

/**
 * Owns the counters and time summaries of a cell: orders to workers, runs, leases, changes of
 * leader and processor time. Receives measurements as effects; exports them as text for the metrics
 * address and, while counters change, as a log line every few seconds. Thread safety: any thread.
 */
class CellMetrics final : public EffectHandler
{
public:
    /** \a log handles LogLine effects and must outlive this object. */
    explicit CellMetrics(EffectHandler &log);

    /** Handles Measured effects. */
    void carryOut(Effect effect) override;
    /** Returns all metrics in the Prometheus text format, including counters that are still 0. */
    [[nodiscard]] std::string text() const;

private:
    /** Name and labels of a series. */
    struct SeriesName
    {
        std::string name;
        std::string labels;
    };

    struct Counter
    {
        SeriesName name;
        std::uint64_t total = 0;
        /** The total when the last log line was written. */
        std::uint64_t logged = 0;
    };

    struct Summary
    {
        explicit Summary(SeriesName seriesName);

        using Times = boost::accumulators::accumulator_set<
                double,
                boost::accumulators::stats<boost::accumulators::tag::count,
                                           boost::accumulators::tag::sum,
                                           boost::accumulators::tag::max,
                                           boost::accumulators::tag::extended_p_square>>;

        SeriesName name;
        Times times;
        /** The longest time since the last log line. */
        Milliseconds longest;
    };

    /** Creates the counters and summaries, each family in the order of its enumeration. */
    void addSeries();
    void record(const OrderCounted &measurement);
    void record(const OrderResultCounted &measurement);
    void record(const RunEndCounted &measurement);
    void record(const EventCounted &measurement);
    void record(const SpanMeasured &measurement);
    void record(const OrderSpanMeasured &measurement);
    void record(const EventsHandled &measurement);
    void record(const ProcessorUsed &measurement);
    static void recordTime(Summary &summary, Milliseconds length);
    static void writeCounters(const std::vector<Counter> &counters, std::string &out);
    static void writeSummaries(const std::vector<Summary> &summaries, std::string &out);
    static void writeMaxima(const std::vector<Summary> &summaries, std::string &out);
    /** Returns the increases since the last log line, and resets them; empty if no counter changed
     * but those of the control thread's time. */
    std::string takeChanges();
    static void appendIncreases(std::vector<Counter> &counters, std::string &line);

    EffectHandler &m_log;
    mutable std::mutex m_mutex;
    std::vector<Counter> m_orders;
    std::vector<Counter> m_orderResults;
    std::vector<Counter> m_runEnds;
    std::vector<Counter> m_events;
    /** Events handled by the control thread, its time and the processor's; these always grow. */
    std::vector<Counter> m_handled;
    std::vector<Counter> m_busy;
    std::vector<Counter> m_processor;
    std::vector<Summary> m_spans;
    std::vector<Summary> m_orderSpans;
    Instant m_nextLine;
};

} // namespace gentiancross
