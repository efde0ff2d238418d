#pragma once

#include <string>

namespace gentiancross {

/** The text with all that HTML and SVG would take for their own replaced. Reentrant. */
std::string escapeMarkup(const std::string &text);

} // namespace gentiancross
