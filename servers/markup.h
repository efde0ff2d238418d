#pragma once

#include <string>

namespace gentiancross {

/** Escapes the characters with a special meaning in HTML and SVG. Reentrant. */
std::string escapeMarkup(const std::string &text);

} // namespace gentiancross
