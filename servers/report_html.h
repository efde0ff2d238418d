#pragma once

#include "core/evening_page.h"

#include <string>

namespace gentiancross {

/** Renders the daily report as one HTML document without scripts or external resources. Reentrant.
 */
std::string reportToHtml(const EveningPage &report);

} // namespace gentiancross
