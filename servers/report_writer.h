#pragma once

#include "core/daily_report.h"

#include <json/json.h>

#include <string>

namespace gentiancross {

/** Encodes the daily report as JSON, with every figure that the other formats show. Reentrant. */
Json::Value reportToJson(const DailyReport &report);

/** Formats the daily report as text for a terminal. Reentrant. */
std::string reportToText(const DailyReport &report);

} // namespace gentiancross
