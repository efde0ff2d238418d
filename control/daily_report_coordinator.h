#pragma once

#include "control/daily_report_builder.h"
#include "control/host_directory.h"
#include "control/outbox.h"

#include <functional>
#include <map>

namespace gentiancross {

/**
 * Owns the daily reports being built: requests the ledgers of all data centres from every host, and
 * builds each report when all have answered or the time-out has passed. Called by HostReducer.
 * Thread safety: owned by the control thread.
 */
class DailyReportCoordinator
{
public:
    explicit DailyReportCoordinator(const HostDirectory &directory)
        : m_directory(directory)
    {}

    /** Begins a report; \a own holds the days of the data centres that this host decides for. */
    void begin(Instant now, const DailyReportRequested &request, const WaitLimits &limits,
               std::vector<DataCentreDay> own, Outbox &out);
    /** Adds the ledger sent by another host. */
    void receive(const LedgerReport &report);
    /** Answers with the reports that are complete or timed out. */
    void advance(Instant now, Milliseconds wall, Outbox &out);

private:
    struct PendingReport
    {
        ExchangeId exchange;
        ReportFormat format = ReportFormat::Html;
        Instant until;
        DailyReportInput input;
    };

    const HostDirectory &m_directory;
    std::map<std::uint64_t, PendingReport> m_pending;
    std::uint64_t m_lastQueryId = 0;
};

} // namespace gentiancross
