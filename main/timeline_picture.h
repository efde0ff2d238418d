#pragma once

#include <json/json.h>

#include <string>
#include <vector>

namespace gentiancross {

/**
 * Draws steps, given in causal order, as an SVG: a column for each host, a row for each step, and
 * lines that connect successive steps of the same subject. Reentrant.
 */
std::string drawTimeline(const std::vector<Json::Value> &steps);

} // namespace gentiancross
