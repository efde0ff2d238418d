#include "servers/markup.h"

#include <absl/strings/str_replace.h>

namespace gentiancross {

std::string escapeMarkup(const std::string &text)
{
    return absl::StrReplaceAll(text,
                               {{"&", "&amp;"}, {"<", "&lt;"}, {">", "&gt;"}, {"\"", "&quot;"}});
}

} // namespace gentiancross
