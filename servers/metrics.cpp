#include "servers/metrics.h"

#include <array>
#include <sstream>

namespace gentiancross {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 2> Quantiles = {0.5, 0.99};

} // namespace

Metrics::Route::Route()
    : times(acc::tag::extended_p_square::probabilities = Quantiles)
{}

void Metrics::recordExchange(const std::string &route, int status, Milliseconds took)
{
    const std::lock_guard lock(m_mutex);
    Route &entry = m_routes[route];
    ++entry.answersByStatus[status];
    entry.times(static_cast<double>(took.value()));
}

void Metrics::recordJournalSync(std::uint64_t records)
{
    const std::lock_guard lock(m_mutex);
    ++m_journalSyncs;
    m_journalRecords += records;
}

std::string Metrics::text() const
{
    const std::lock_guard lock(m_mutex);
    std::ostringstream out;
    out << "# TYPE gentiancross_answers_total counter\n";
    for (const auto &[name, route] : m_routes) {
        for (const auto &[status, count] : route.answersByStatus)
            out << "gentiancross_answers_total{route=\"" << name << "\",status=\"" << status
                << "\"} " << count << '\n';
    }
    out << "# TYPE gentiancross_answer_milliseconds summary\n";
    for (const auto &[name, route] : m_routes) {
        const auto estimates = acc::extended_p_square(route.times);
        for (std::size_t index = 0; index < Quantiles.size(); ++index)
            out << "gentiancross_answer_milliseconds{route=\"" << name << "\",quantile=\""
                << Quantiles.at(index) << "\"} " << estimates[static_cast<std::ptrdiff_t>(index)]
                << '\n';
        out << "gentiancross_answer_milliseconds_count{route=\"" << name << "\"} "
            << acc::count(route.times) << '\n';
    }
    out << "# TYPE gentiancross_journal_syncs_total counter\n"
        << "gentiancross_journal_syncs_total " << m_journalSyncs << '\n'
        << "# TYPE gentiancross_journal_records_total counter\n"
        << "gentiancross_journal_records_total " << m_journalRecords << '\n';
    return out.str();
}

} // namespace gentiancross
