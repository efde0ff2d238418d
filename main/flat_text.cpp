#include "main/flat_text.h"

#include <absl/strings/str_cat.h>

namespace gentiancross {

namespace {

void appendFlat(const std::string &prefix, const Json::Value &json, std::string &text)
{
    if (json.isObject()) {
        for (const std::string &name : json.getMemberNames())
            appendFlat(prefix.empty() ? name : absl::StrCat(prefix, ".", name), json[name], text);
    } else if (json.isArray()) {
        for (Json::ArrayIndex index = 0; index < json.size(); ++index)
            appendFlat(absl::StrCat(prefix, "[", index, "]"), json[index], text);
    } else {
        absl::StrAppend(&text, prefix, ": ", json.asString(), "\n");
    }
}

} // namespace

std::string flattenToText(const Json::Value &json)
{
    std::string text;
    appendFlat({}, json, text);
    return text;
}

} // namespace gentiancross
