#pragma once

#include "control/daily_report_builder.h"
#include "control/host_directory.h"
#include "control/outbox.h"

#include <functional>
#include <map>

namespace gentiancross {

/**
 * Makes evening pages: asks every host for the ledgers of the data centres that it decides for, and
 * judges what has come when all have told or the time is up.
 * Thread safety: owned by the control thread.
 */
class DailyReportCoordinator
{
public:
    explicit DailyReportCoordinator(const HostDirectory &directory)
        : m_directory(directory)
    {}

    /** Begins a page; \a own is what this host itself can tell. */
    void begin(Instant now, const DailyReportRequested &asked, const WaitLimits &limits,
               std::vector<DataCentreDay> own, Outbox &out);
    /** Takes in what another host tells. */
    void receive(const LedgerReport &told);
    /** Answers the pages that are whole or whose time is up. */
    void advance(Instant now, Milliseconds wall, Outbox &out);

private:
    struct Waiting
    {
        ExchangeId exchange;
        ReportFormat format = ReportFormat::Html;
        Instant until;
        DailyReportInput evidence;
    };

    const HostDirectory &m_directory;
    std::map<std::uint64_t, Waiting> m_waiting;
    std::uint64_t m_lastQuestion = 0;
};

} // namespace gentiancross
