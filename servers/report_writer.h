#pragma once

#include "core/evening_page.h"

#include <json/json.h>

#include <string>

namespace gentiancross {

/** The evening page as JSON: every figure that the other formats show. Reentrant. */
Json::Value reportToJson(const EveningPage &page);

/** The evening page as text for a terminal. Reentrant. */
std::string reportToText(const EveningPage &page);

} // namespace gentiancross
