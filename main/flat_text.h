#pragma once

#include <json/json.h>

#include <string>

namespace gentiancross {

/** Formats nested values as lines such as "name.name: value", for people to read. Reentrant. */
std::string flattenToText(const Json::Value &json);

} // namespace gentiancross
