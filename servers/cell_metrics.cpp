#include "servers/cell_metrics.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <absl/strings/strip.h>

#include <algorithm>
#include <array>
#include <utility>

namespace gentiancross {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 2> Quantiles = {0.5, 0.99};
/** The estimate of so many quantiles needs this many values. */
constexpr std::size_t MinSamplesForQuantiles = 2 * Quantiles.size() + 3;
/** How often a log line tells what has changed. */
constexpr Milliseconds LogInterval{5000};

constexpr char Prefix[] = "gentiancross_";

constexpr std::array KindNames = {"start", "stop", "hold"};
constexpr std::array ResultNames
        = {"answered", "refused", "late", "fenced", "expired", "unanswered"};
constexpr std::array EndingNames
        = {"done", "failed", "stopped", "lapsed", "broken", "alone", "not_started", "lost"};
constexpr std::array SourceNames = {"listed", "concluded", "concluded_inherited"};
constexpr std::array<std::pair<const char *, const char *>, 15> EventNames = {{
        {"starts_total", "run=\"first\""},
        {"starts_total", "run=\"later\""},
        {"starts_repeated_total", ""},
        {"leases_lapsed_total", "heartbeats=\"heard\""},
        {"leases_lapsed_total", "heartbeats=\"missing\""},
        {"ends_not_noted_total", "reason=\"later_run\""},
        {"ends_not_noted_total", "reason=\"held_back\""},
        {"end_lists_full_total", ""},
        {"unexpected_runs_total", ""},
        {"orders_dropped_total", ""},
        {"orders_overdue_total", ""},
        {"answers_discarded_total", ""},
        {"leader_changes_total", "change=\"gained\""},
        {"leader_changes_total", "change=\"lost\""},
        {"worker_connections_total", ""},
}};
constexpr std::array SpanNames = {"start_durable_milliseconds", "run_ended_milliseconds",
                                  "end_durable_milliseconds", "tick_gap_milliseconds"};
constexpr std::array OrderSpanNames = {"order_sent_milliseconds", "order_answered_milliseconds"};

template <typename Enum>
constexpr std::size_t place(Enum value)
{
    return static_cast<std::size_t>(value);
}

std::string withLabels(const std::string &name, const std::string &labels)
{
    return labels.empty() ? name : absl::StrCat(name, "{", labels, "}");
}

std::string joined(const std::string &labels, const std::string &more)
{
    return labels.empty() ? more : absl::StrCat(labels, ",", more);
}

/** Writes the type of a family before its first series. */
void beginFamily(std::string &current, const std::string &name, const char *type, std::string &out)
{
    if (std::exchange(current, name) != name)
        absl::StrAppend(&out, "# TYPE ", name, " ", type, "\n");
}

/** A series as log lines name it. */
std::string shortName(const std::string &name, const std::string &labels)
{
    return absl::StrReplaceAll(withLabels(std::string(absl::StripPrefix(name, Prefix)), labels),
                               {{"\"", ""}});
}

} // namespace

CellMetrics::Summary::Summary(SeriesName seriesName)
    : name(std::move(seriesName))
    , times(acc::tag::extended_p_square::probabilities = Quantiles)
{}

CellMetrics::CellMetrics(EffectHandler &log)
    : m_log(log)
{
    addSeries();
}

void CellMetrics::addSeries()
{
    const auto nameOf = [](const char *name, std::string labels) {
        return SeriesName{absl::StrCat(Prefix, name), std::move(labels)};
    };
    for (const char *kind : KindNames) {
        const std::string label = absl::StrCat("kind=\"", kind, "\"");
        m_orders.push_back({nameOf("orders_total", label)});
        for (const char *result : ResultNames)
            m_orderResults.push_back({nameOf("order_results_total",
                                             absl::StrCat(label, ",result=\"", result, "\""))});
    }
    for (const char *ending : EndingNames) {
        for (const char *source : SourceNames)
            m_runEnds.push_back(
                    {nameOf("runs_ended_total",
                            absl::StrCat("ending=\"", ending, "\",source=\"", source, "\""))});
    }
    for (const auto &[name, labels] : EventNames)
        m_events.push_back({nameOf(name, labels)});
    for (const char *name : SpanNames)
        m_spans.emplace_back(nameOf(name, {}));
    for (const char *name : OrderSpanNames) {
        for (const char *kind : KindNames)
            m_orderSpans.emplace_back(nameOf(name, absl::StrCat("kind=\"", kind, "\"")));
    }
}

void CellMetrics::take(const OrderCounted &measurement)
{
    ++m_orders.at(place(measurement.kind)).total;
}

void CellMetrics::take(const OrderResultCounted &measurement)
{
    ++m_orderResults.at(place(measurement.kind) * ResultNames.size() + place(measurement.result))
              .total;
}

void CellMetrics::take(const RunEndCounted &measurement)
{
    ++m_runEnds.at(place(measurement.ending) * SourceNames.size() + place(measurement.source))
              .total;
}

void CellMetrics::take(const EventCounted &measurement)
{
    m_events.at(place(measurement.event)).total += measurement.count;
}

void CellMetrics::take(const SpanMeasured &measurement)
{
    note(m_spans.at(place(measurement.span)), measurement.length);
}

void CellMetrics::take(const OrderSpanMeasured &measurement)
{
    note(m_orderSpans.at(place(measurement.span) * KindNames.size() + place(measurement.kind)),
         measurement.length);
}

void CellMetrics::note(Summary &summary, Milliseconds length)
{
    summary.times(static_cast<double>(length.value()));
    summary.longest = std::max(summary.longest, length);
}

void CellMetrics::carryOut(Effect effect)
{
    const auto &measured = std::get<Measured>(effect);
    std::string changes;
    {
        const std::lock_guard lock(m_mutex);
        for (const Measurement &measurement : measured.measurements)
            std::visit([this](const auto &typed) { take(typed); }, measurement);
        if (measured.at >= m_nextLine) {
            m_nextLine = measured.at + LogInterval;
            changes = takeChanges();
        }
    }
    if (!changes.empty())
        m_log.carryOut(LogLine{false, "metrics", std::move(changes)});
}

std::string CellMetrics::takeChanges()
{
    std::string line;
    for (std::vector<Counter> *const family : {&m_orders, &m_orderResults, &m_runEnds, &m_events}) {
        for (Counter &counter : *family) {
            const std::uint64_t grown
                    = counter.total - std::exchange(counter.logged, counter.total);
            if (grown > 0)
                absl::StrAppend(&line, line.empty() ? "" : " ",
                                shortName(counter.name.name, counter.name.labels), "=", grown);
        }
    }
    const bool hasChanged = !line.empty();
    for (std::vector<Summary> *const family : {&m_spans, &m_orderSpans}) {
        for (Summary &summary : *family) {
            const Milliseconds longest = std::exchange(summary.longest, Milliseconds(0));
            if (hasChanged && longest > Milliseconds(0))
                absl::StrAppend(&line, " longest_",
                                shortName(summary.name.name, summary.name.labels), "=",
                                longest.value());
        }
    }
    return line;
}

std::string CellMetrics::text() const
{
    const std::lock_guard lock(m_mutex);
    std::string out;
    for (const std::vector<Counter> *const family :
         {&m_orders, &m_orderResults, &m_runEnds, &m_events})
        writeCounters(*family, out);
    for (const std::vector<Summary> *const family : {&m_spans, &m_orderSpans}) {
        writeSummaries(*family, out);
        writeMaxima(*family, out);
    }
    return out;
}

void CellMetrics::writeCounters(const std::vector<Counter> &counters, std::string &out)
{
    std::string family;
    for (const Counter &counter : counters) {
        beginFamily(family, counter.name.name, "counter", out);
        absl::StrAppend(&out, withLabels(counter.name.name, counter.name.labels), " ",
                        counter.total, "\n");
    }
}

void CellMetrics::writeSummaries(const std::vector<Summary> &summaries, std::string &out)
{
    std::string family;
    for (const Summary &summary : summaries) {
        const auto &[name, labels] = summary.name;
        beginFamily(family, name, "summary", out);
        const std::size_t count = acc::count(summary.times);
        const auto estimates = acc::extended_p_square(summary.times);
        for (std::size_t index = 0; count >= MinSamplesForQuantiles && index < Quantiles.size();
             ++index)
            absl::StrAppend(
                    &out,
                    withLabels(
                            name,
                            joined(labels, absl::StrCat("quantile=\"", Quantiles.at(index), "\""))),
                    " ", estimates[static_cast<std::ptrdiff_t>(index)], "\n");
        absl::StrAppend(&out, withLabels(name + "_sum", labels), " ",
                        static_cast<std::int64_t>(acc::sum(summary.times)), "\n",
                        withLabels(name + "_count", labels), " ", count, "\n");
    }
}

void CellMetrics::writeMaxima(const std::vector<Summary> &summaries, std::string &out)
{
    std::string family;
    for (const Summary &summary : summaries) {
        const std::string name = summary.name.name + "_max";
        beginFamily(family, name, "gauge", out);
        const bool isEmpty = acc::count(summary.times) == 0;
        absl::StrAppend(&out, withLabels(name, summary.name.labels), " ",
                        isEmpty ? 0 : static_cast<std::int64_t>(acc::max(summary.times)), "\n");
    }
}

} // namespace gentiancross
