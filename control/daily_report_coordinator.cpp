#include "control/daily_report_coordinator.h"

#include <utility>

namespace gentiancross {

namespace {

/** A data centre that has not answered within this time counts as missing. */
constexpr Milliseconds LedgerTimeout{3'000};

} // namespace

void DailyReportCoordinator::begin(Instant now, const DailyReportRequested &request,
                                   const WaitLimits &limits, std::vector<DataCentreDay> own,
                                   Outbox &out)
{
    const std::uint64_t queryId = ++m_lastQueryId;
    PendingReport &pending = m_pending[queryId];
    pending.exchange = request.exchange;
    pending.format = request.format;
    pending.until = now + LedgerTimeout;
    pending.input.day = request.day;
    pending.input.limits = limits;
    for (const auto &[host, info] : m_directory.hosts) {
        pending.input.dataCentres.insert(info.dataCentre);
        if (host != m_directory.self)
            out.send(host, LedgerQuery{queryId, request.day.first});
    }
    for (DataCentreDay &day : own)
        receive({queryId, std::move(day)});
}

void DailyReportCoordinator::receive(const LedgerReport &report)
{
    const auto found = m_pending.find(report.queryId);
    if (found != m_pending.end())
        found->second.input.days.insert_or_assign(report.day.dataCentre, report.day);
}

void DailyReportCoordinator::advance(Instant now, Milliseconds wall, Outbox &out)
{
    for (auto entry = m_pending.begin(); entry != m_pending.end();) {
        PendingReport &pending = entry->second;
        const bool isComplete = pending.input.days.size() >= pending.input.dataCentres.size();
        if (!isComplete && now < pending.until) {
            ++entry;
            continue;
        }
        pending.input.wall = wall;
        out.add(Reply{pending.exchange,
                      DailyReportAnswer{buildDailyReport(pending.input), pending.format}});
        entry = m_pending.erase(entry);
    }
}

} // namespace gentiancross
