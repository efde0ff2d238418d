#include "control/daily_report_coordinator.h"

#include <utility>

namespace gentiancross {

namespace {

/** A data centre that has not told by then counts as missing. */
constexpr Milliseconds Patience{3'000};

} // namespace

void DailyReportCoordinator::begin(Instant now, const DailyReportRequested &asked,
                                   const WaitLimits &limits, std::vector<DataCentreDay> own,
                                   Outbox &out)
{
    const std::uint64_t question = ++m_lastQuestion;
    Waiting &waiting = m_waiting[question];
    waiting.exchange = asked.exchange;
    waiting.format = asked.format;
    waiting.until = now + Patience;
    waiting.evidence.day = asked.day;
    waiting.evidence.limits = limits;
    for (const auto &[host, info] : m_directory.hosts) {
        waiting.evidence.dataCentres.insert(info.dataCentre);
        if (host != m_directory.self)
            out.send(host, LedgerQuery{question, asked.day.first});
    }
    for (DataCentreDay &day : own)
        receive({question, std::move(day)});
}

void DailyReportCoordinator::receive(const LedgerReport &told)
{
    const auto found = m_waiting.find(told.queryId);
    if (found != m_waiting.end())
        found->second.evidence.told.insert_or_assign(told.day.dataCentre, told.day);
}

void DailyReportCoordinator::advance(Instant now, Milliseconds wall, Outbox &out)
{
    for (auto entry = m_waiting.begin(); entry != m_waiting.end();) {
        Waiting &waiting = entry->second;
        const bool isWhole = waiting.evidence.told.size() >= waiting.evidence.dataCentres.size();
        if (!isWhole && now < waiting.until) {
            ++entry;
            continue;
        }
        waiting.evidence.wall = wall;
        out.add(Reply{waiting.exchange,
                      DailyReportAnswer{buildDailyReport(waiting.evidence), waiting.format}});
        entry = m_waiting.erase(entry);
    }
}

} // namespace gentiancross
