#pragma once

#include "core/daily_report.h"

#include <json/json.h>

#include <string>

namespace gentiancross {

/** The evening page as JSON: every figure that the other formats show. Reentrant. */
Json::Value reportToJson(const DailyReport &page);

/** The evening page as text for a terminal. Reentrant. */
std::string reportToText(const DailyReport &page);

} // namespace gentiancross
