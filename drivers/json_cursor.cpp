#include "drivers/json_cursor.h"

#include "drivers/json_items.h"

namespace gentiancross {

namespace {

/** Deeper texts are refused, as the stack is limited. */
constexpr int MaxDepth = 500;

} // namespace

JsonCursor::JsonCursor(std::string_view text)
    : m_text(text)
    , m_error(m_parser.iterate(m_text).get(m_document))
{}

bool JsonCursor::open(simdjson::ondemand::value &value)
{
    return m_error == simdjson::SUCCESS && m_document.get_value().get(value) == simdjson::SUCCESS;
}

bool JsonCursor::skipValue()
{
    simdjson::ondemand::value value;
    return open(value) && skip(value);
}

bool JsonCursor::isAtEnd()
{
    return position() == m_text.size();
}

bool JsonCursor::hasOddBytes() const
{
    return m_error == simdjson::UTF8_ERROR || m_error == simdjson::UNESCAPED_CHARS;
}

std::size_t JsonCursor::position()
{
    const char *location = nullptr;
    if (m_document.current_location().get(location) != simdjson::SUCCESS)
        return m_text.size();
    return static_cast<std::size_t>(location - m_text.data());
}

std::size_t JsonCursor::positionOf(std::string_view part) const
{
    return static_cast<std::size_t>(part.data() - m_text.data());
}

bool JsonCursor::skip(simdjson::ondemand::value value, int depth)
{
    simdjson::ondemand::json_type type{};
    if (depth > MaxDepth || value.type().get(type) != simdjson::SUCCESS)
        return false;
    switch (type) {
    case simdjson::ondemand::json_type::array: {
        JsonItems items(value);
        simdjson::ondemand::value item;
        while (items.next(item)) {
            if (!skip(item, depth + 1))
                return false;
        }
        return items.isAtEnd();
    }
    case simdjson::ondemand::json_type::object:
        return skipFields(value, depth);
    case simdjson::ondemand::json_type::string:
        return value.get_string().error() == simdjson::SUCCESS;
    case simdjson::ondemand::json_type::number:
        return value.get_double().error() == simdjson::SUCCESS;
    case simdjson::ondemand::json_type::boolean:
        return value.get_bool().error() == simdjson::SUCCESS;
    case simdjson::ondemand::json_type::null:
        break;
    }
    bool isNull = false;
    return value.is_null().get(isNull) == simdjson::SUCCESS && isNull;
}

bool JsonCursor::skipFields(simdjson::ondemand::value value, int depth)
{
    simdjson::ondemand::object object;
    if (value.get_object().get(object) != simdjson::SUCCESS)
        return false;
    for (auto field : object) {
        simdjson::ondemand::value item;
        if (field.unescaped_key().error() != simdjson::SUCCESS
            || field.value().get(item) != simdjson::SUCCESS || !skip(item, depth + 1))
            return false;
    }
    return true;
}

} // namespace gentiancross
