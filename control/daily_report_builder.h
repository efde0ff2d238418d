#pragma once

#include "core/daily_report.h"

#include <map>
#include <set>

namespace gentiancross {

/** The data that a daily report is built from. */
struct DailyReportInput
{
    ReportDay day;
    Milliseconds wall;
    /** All configured data centres. */
    std::set<DataCentreId> dataCentres;
    /** The ledgers of the data centres that answered. */
    std::map<DataCentreId, DataCentreDay> days;
    WaitLimits limits;
};

/**
 * Builds the report and its verdict: "incomplete" if any part of the input is missing or
 * contradicts another, else "bad" if work waited too long or a team got less than its fair share,
 * else "good". Called by DailyReportCoordinator. Reentrant.
 */
DailyReport buildDailyReport(const DailyReportInput &input);

} // namespace gentiancross
