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
/** The extended P-square estimator needs this many values for the quantiles above. */
constexpr std::size_t MinSamplesForQuantiles = 2 * Quantiles.size() + 3;
/** The minimum time between two log lines with changes. */
constexpr Milliseconds LogInterval{5000};

constexpr char Prefix[] = "gentiancross_";

constexpr std::array KindNames = {"start", "stop", "hold"};
constexpr std::array ResultNames
        = {"answered", "refused", "late", "fenced", "expired", "unanswered"};
constexpr std::array EndingNames
        = {"done", "failed", "stopped", "lapsed", "broken", "alone", "not_started", "lost"};
constexpr std::array SourceNames = {"listed", "concluded", "concluded_inherited"};
constexpr std::array<std::pair<const char *, const char *>, 37> EventNames = {{
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
        {"workers_restarted_total", ""},
        {"runs_moved_total", ""},
        {"answers_unidentified_total", ""},
        {"worker_claims_total", "result=\"confirmed\""},
        {"worker_claims_total", "result=\"dropped\""},
        {"worker_messages_refused_total", ""},
        {"acknowledgements_overdue_total", ""},
        {"acknowledgements_fenced_total", ""},
        {"late_ends_released_total", ""},
        {"leases_withheld_total", ""},
        {"best_effort_evicted_total", ""},
        {"speed_class_changes_total", ""},
        {"evacuation_orders_total", "result=\"begun\""},
        {"evacuation_orders_total", "result=\"ended\""},
        {"evacuation_orders_total", "result=\"refused\""},
        {"evacuated_starts_abandoned_total", ""},
        {"submissions_refused_total", "reason=\"undecided\""},
        {"submissions_refused_total", "reason=\"store_full\""},
        {"submissions_refused_total", "reason=\"team_full\""},
        {"voter_changes_total", "change=\"silent\""},
        {"voter_changes_total", "change=\"replaced\""},
        {"voter_changes_total", "change=\"added\""},
}};
constexpr std::array SpanNames
        = {"start_durable_milliseconds", "run_ended_milliseconds", "end_durable_milliseconds",
           "tick_gap_milliseconds", "voter_replaced_milliseconds"};
constexpr std::array OrderSpanNames = {"order_sent_milliseconds", "order_answered_milliseconds"};

constexpr std::array HandledNames
        = {"tick",          "sync",         "job_call",    "configuration", "heartbeat",
           "heartbeats",    "start_answer", "stop_answer", "hold_answer",   "worker_answers",
           "worker_orders", "advice",       "log",         "relay",         "other"};
constexpr std::array ProcessorNames = {"control", "process"};

template <typename Enum>
constexpr std::size_t indexOf(Enum value)
{
    return static_cast<std::size_t>(value);
}
static_assert(EventNames.size() == indexOf(CellEvent::VoterAdded) + 1,
              "Each event has a name, in the order of the enumerators.");
static_assert(HandledNames.size() == indexOf(EventKind::Other) + 1,
              "Each kind of event has a name, in the order of the enumerators.");

std::string withLabels(const std::string &name, const std::string &labels)
{
    return labels.empty() ? name : absl::StrCat(name, "{", labels, "}");
}

std::string joinLabels(const std::string &labels, const std::string &more)
{
    return labels.empty() ? more : absl::StrCat(labels, ",", more);
}

/** Writes the TYPE line of a metric family before its first series. */
void beginFamily(std::string &current, const std::string &name, const char *type, std::string &out)
{
    if (std::exchange(current, name) != name)
        absl::StrAppend(&out, "# TYPE ", name, " ", type, "\n");
}

/** Returns the name of a series in log lines: without the common prefix and quotes. */
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
    for (const char *kind : HandledNames) {
        const std::string label = absl::StrCat("event=\"", kind, "\"");
        m_handled.push_back({nameOf("control_events_total", label)});
        m_busy.push_back({nameOf("control_busy_microseconds_total", label)});
    }
    for (const char *part : ProcessorNames)
        m_processor.push_back(
                {nameOf("processor_microseconds_total", absl::StrCat("part=\"", part, "\""))});
    for (const char *name : SpanNames)
        m_spans.emplace_back(nameOf(name, {}));
    for (const char *name : OrderSpanNames) {
        for (const char *kind : KindNames)
            m_orderSpans.emplace_back(nameOf(name, absl::StrCat("kind=\"", kind, "\"")));
    }
}

void CellMetrics::record(const OrderCounted &measurement)
{
    ++m_orders.at(indexOf(measurement.kind)).total;
}

void CellMetrics::record(const OrderResultCounted &measurement)
{
    ++m_orderResults
              .at(indexOf(measurement.kind) * ResultNames.size() + indexOf(measurement.result))
              .total;
}

void CellMetrics::record(const RunEndCounted &measurement)
{
    ++m_runEnds.at(indexOf(measurement.ending) * SourceNames.size() + indexOf(measurement.source))
              .total;
}

void CellMetrics::record(const EventCounted &measurement)
{
    m_events.at(indexOf(measurement.event)).total += measurement.count;
}

void CellMetrics::record(const SpanMeasured &measurement)
{
    recordTime(m_spans.at(indexOf(measurement.span)), measurement.length);
}

void CellMetrics::record(const OrderSpanMeasured &measurement)
{
    recordTime(m_orderSpans.at(indexOf(measurement.span) * KindNames.size()
                               + indexOf(measurement.kind)),
               measurement.length);
}

void CellMetrics::record(const EventsHandled &measurement)
{
    m_handled.at(indexOf(measurement.kind)).total += measurement.events;
    m_busy.at(indexOf(measurement.kind)).total
            += static_cast<std::uint64_t>(measurement.busy.value());
}

void CellMetrics::record(const ProcessorUsed &measurement)
{
    m_processor.at(indexOf(measurement.part)).total
            += static_cast<std::uint64_t>(measurement.time.value());
}

void CellMetrics::recordTime(Summary &summary, Milliseconds length)
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
            std::visit([this](const auto &typed) { record(typed); }, measurement);
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
    for (std::vector<Counter> *const family : {&m_orders, &m_orderResults, &m_runEnds, &m_events})
        appendIncreases(*family, line);
    const bool hasChanged = !line.empty();
    if (hasChanged) {
        for (std::vector<Counter> *const family : {&m_handled, &m_busy, &m_processor})
            appendIncreases(*family, line);
    }
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

void CellMetrics::appendIncreases(std::vector<Counter> &counters, std::string &line)
{
    for (Counter &counter : counters) {
        const std::uint64_t increase = counter.total - std::exchange(counter.logged, counter.total);
        if (increase > 0)
            absl::StrAppend(&line, line.empty() ? "" : " ",
                            shortName(counter.name.name, counter.name.labels), "=", increase);
    }
}

std::string CellMetrics::text() const
{
    const std::lock_guard lock(m_mutex);
    std::string out;
    for (const std::vector<Counter> *const family :
         {&m_orders, &m_orderResults, &m_runEnds, &m_events, &m_handled, &m_busy, &m_processor})
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
                    withLabels(name,
                               joinLabels(labels,
                                          absl::StrCat("quantile=\"", Quantiles.at(index), "\""))),
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
