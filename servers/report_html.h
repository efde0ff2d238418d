#pragma once

#include "core/daily_report.h"

#include <string>

namespace gentiancross {

/** Renders the daily report as one HTML document without scripts or external resources. Reentrant.
 */
std::string reportToHtml(const DailyReport &report);

} // namespace gentiancross
