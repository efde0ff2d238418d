#include "drivers/json_member_reader.h"

#include <absl/strings/str_cat.h>

#include <cmath>

namespace gentiancross {

namespace {

/** Exceeds every valid quantity; small enough that sums of many values can't overflow. */
constexpr std::int64_t MaxNumber = 1LL << 53;

} // namespace

void JsonMemberReader::fail(const std::string &what)
{
    if (m_error.empty())
        m_error = what;
}

void JsonMemberReader::failMember(const std::string &what)
{
    fail(std::string(m_name) + ' ' + what);
}

void JsonMemberReader::skip(Json json)
{
    if (!JsonCursor::skip(json))
        failMalformed();
}

void JsonMemberReader::read(Json json, bool &value)
{
    if (json.get_bool().get(value) != simdjson::SUCCESS)
        failMember("must be true or false");
}

void JsonMemberReader::read(Json json, std::string &value, std::size_t maxBytes)
{
    std::string_view text;
    if (json.get_string().get(text) != simdjson::SUCCESS)
        failMember("must be a text");
    else if (text.size() > maxBytes)
        failMember(absl::StrCat("must have at most ", maxBytes, " bytes"));
    else
        value = text;
}

void JsonMemberReader::readNumber(Json json, std::int64_t &value)
{
    double number = -1;
    const bool isNumber = json.get_double().get(number) == simdjson::SUCCESS;
    // Up to MaxNumber a double is exact.
    if (isNumber && number >= 0 && number <= double(MaxNumber) && number == std::floor(number))
        value = static_cast<std::int64_t>(number);
    else
        failMember("must be a whole number of 0 or more");
}

void JsonMemberReader::read(Json json, std::uint32_t &value)
{
    std::int64_t number = value;
    readNumber(json, number);
    if (number > UINT32_MAX)
        failMember("is too large");
    else
        value = static_cast<std::uint32_t>(number);
}

void JsonMemberReader::read(Json json, double &value, double maximum)
{
    double number = -1;
    if (json.get_double().get(number) != simdjson::SUCCESS || number < 0
        || number > double(MaxNumber))
        failMember("must be a number of 0 or more");
    else if (number > maximum)
        failMember("is too large");
    else
        value = number;
}

} // namespace gentiancross
