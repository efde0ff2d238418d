#pragma once

#include "core/evening_page.h"

#include <string>

namespace gentiancross {

/** The evening page as one HTML document without scripts or outside parts. Reentrant. */
std::string reportToHtml(const EveningPage &page);

} // namespace gentiancross
