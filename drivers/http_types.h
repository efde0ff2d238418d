#pragma once

#include "core/events.h"

#include <map>
#include <string>

namespace gentiancross {

/** Header names in lower case. */
using Headers = std::map<std::string, std::string>;

/** A complete request, as received. */
struct HttpRequest
{
    std::string method;
    std::string path;
    /** Query parameters by name. */
    std::map<std::string, std::string> query;
    Headers headers;
    std::string body;

    /** Returns the header's value, or an empty string. \a name must be in lower case. */
    [[nodiscard]] std::string header(const std::string &name) const
    {
        const auto found = headers.find(name);
        return found == headers.end() ? std::string() : found->second;
    }
};

/** A complete response. */
struct HttpResponse
{
    int status = 200;
    std::map<std::string, std::string> headers;
    Body body;
};

} // namespace gentiancross
