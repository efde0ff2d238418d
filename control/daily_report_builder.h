#pragma once

#include "core/daily_report.h"

#include <map>
#include <set>

namespace gentiancross {

/** All that a page is made of. */
struct DailyReportInput
{
    ReportDay day;
    Milliseconds wall;
    /** The data centres that there are. */
    std::set<DataCentreId> dataCentres;
    /** What those that answered told. */
    std::map<DataCentreId, DataCentreDay> told;
    WaitLimits limits;
};

/**
 * Judges a day: "incomplete" if any part of the evidence is missing or contradicts another, else
 * "bad" if work waited too long or a team lacked its fair part, else "good". Reentrant.
 */
DailyReport buildDailyReport(const DailyReportInput &evidence);

} // namespace gentiancross
