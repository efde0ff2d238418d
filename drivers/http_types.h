#pragma once

#include "core/events.h"

#include <map>
#include <string>

namespace gentiancross {

/** Header names in lower case. */
using Headers = std::map<std::string, std::string>;

/** A whole request, as it came. */
struct HttpRequest
{
    std::string method;
    std::string path;
    /** The part after the question mark, by name. */
    std::map<std::string, std::string> query;
    Headers headers;
    std::string body;

    /** The header's value, or an empty text. \a name is in lower case. */
    [[nodiscard]] std::string header(const std::string &name) const
    {
        const auto found = headers.find(name);
        return found == headers.end() ? std::string() : found->second;
    }
};

/** A whole answer. */
struct HttpResponse
{
    int status = 200;
    std::map<std::string, std::string> headers;
    Body body;
};

} // namespace gentiancross
