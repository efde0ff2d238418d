#pragma once

#include <json/json.h>

#include <string>

namespace gentiancross {

/** Nested values as "name.name: value" lines, for people. Reentrant. */
std::string flattenToText(const Json::Value &json);

} // namespace gentiancross
