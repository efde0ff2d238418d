#pragma once

#include "core/evening_page.h"

#include <json/json.h>

#include <string>

namespace gentiancross {

/** Encodes the daily report as JSON, with every figure that the other formats show. Reentrant. */
Json::Value reportToJson(const EveningPage &report);

/** Formats the daily report as text for a terminal. Reentrant. */
std::string reportToText(const EveningPage &report);

} // namespace gentiancross
