#pragma once

#include "core/daily_report.h"

#include <string>

namespace gentiancross {

/** The evening page as one HTML document without scripts or outside parts. Reentrant. */
std::string reportToHtml(const DailyReport &page);

} // namespace gentiancross
