#include "drivers/json_cursor.h"

#include <charconv>

namespace gentiancross {

namespace {

/** Deeper texts are refused, as the stack is limited. */
constexpr int MaxDepth = 500;
constexpr std::size_t HexDigitsPerUnit = 4;
constexpr std::uint32_t FirstHighSurrogate = 0xD800;
constexpr std::uint32_t FirstLowSurrogate = 0xDC00;
constexpr std::uint32_t LastLowSurrogate = 0xDFFF;
constexpr std::uint32_t FirstSupplementary = 0x10000;
constexpr std::uint32_t FirstOfTwoBytes = 0x80;
constexpr std::uint32_t FirstOfThreeBytes = 0x800;

bool isSpace(char character)
{
    return character == ' ' || character == '\n' || character == '\t' || character == '\r';
}

bool isDigit(char character)
{
    return character >= '0' && character <= '9';
}

char continuationByte(std::uint32_t bits)
{
    return static_cast<char>(0x80 | (bits & 0x3F));
}

void appendUtf8(std::string &text, std::uint32_t point)
{
    if (point < FirstOfTwoBytes) {
        text += static_cast<char>(point);
    } else if (point < FirstOfThreeBytes) {
        text += {static_cast<char>(0xC0 | (point >> 6)), continuationByte(point)};
    } else if (point < FirstSupplementary) {
        text += {static_cast<char>(0xE0 | (point >> 12)), continuationByte(point >> 6),
                 continuationByte(point)};
    } else {
        text += {static_cast<char>(0xF0 | (point >> 18)), continuationByte(point >> 12),
                 continuationByte(point >> 6), continuationByte(point)};
    }
}

} // namespace

void JsonCursor::skipSpace()
{
    while (m_position < m_text.size() && isSpace(m_text[m_position]))
        ++m_position;
}

bool JsonCursor::isAt(char wanted)
{
    skipSpace();
    return m_position < m_text.size() && m_text[m_position] == wanted;
}

bool JsonCursor::take(char wanted)
{
    if (!isAt(wanted))
        return false;
    ++m_position;
    return true;
}

bool JsonCursor::isAtEnd()
{
    skipSpace();
    return m_position == m_text.size();
}

bool JsonCursor::readString(std::string &value)
{
    value.clear();
    if (!take('"'))
        return false;
    while (true) {
        std::size_t end = m_position;
        while (end < m_text.size() && m_text[end] != '"' && m_text[end] != '\\')
            ++end;
        if (end == m_text.size())
            return false;
        value.append(m_text, m_position, end - m_position);
        m_position = end + 1;
        if (m_text[end] == '"')
            return true;
        if (!readEscape(value))
            return false;
    }
}

bool JsonCursor::readEscape(std::string &value)
{
    if (m_position == m_text.size())
        return false;
    const char kind = m_text[m_position++];
    switch (kind) {
    case '"':
    case '\\':
    case '/':
        value += kind;
        return true;
    case 'b':
        value += '\b';
        return true;
    case 'f':
        value += '\f';
        return true;
    case 'n':
        value += '\n';
        return true;
    case 'r':
        value += '\r';
        return true;
    case 't':
        value += '\t';
        return true;
    case 'u':
        break;
    default:
        return false;
    }
    std::uint32_t point = 0;
    if (!readHexDigits(point))
        return false;
    if (point >= FirstHighSurrogate && point < FirstLowSurrogate) {
        std::uint32_t low = 0;
        if (!skipWord("\\u") || !readHexDigits(low) || low < FirstLowSurrogate
            || low > LastLowSurrogate)
            return false;
        point = FirstSupplementary + ((point - FirstHighSurrogate) << 10)
                + (low - FirstLowSurrogate);
    }
    appendUtf8(value, point);
    return true;
}

bool JsonCursor::readHexDigits(std::uint32_t &unit)
{
    if (m_text.size() - m_position < HexDigitsPerUnit)
        return false;
    const char *const begin = m_text.data() + m_position;
    const auto [end, error] = std::from_chars(begin, begin + HexDigitsPerUnit, unit, 16);
    m_position += HexDigitsPerUnit;
    return error == std::errc() && end == begin + HexDigitsPerUnit;
}

bool JsonCursor::skipWord(std::string_view word)
{
    if (!m_text.substr(m_position).starts_with(word))
        return false;
    m_position += word.size();
    return true;
}

bool JsonCursor::readBool(bool &value)
{
    skipSpace();
    value = skipWord("true");
    return value || skipWord("false");
}

bool JsonCursor::readNull()
{
    skipSpace();
    return skipWord("null");
}

template <typename Integer>
bool JsonCursor::readNumber(Integer &value)
{
    skipSpace();
    const std::size_t begin = m_position;
    if (!skipNumber())
        return false;
    const char *const last = m_text.data() + m_position;
    const auto [end, error] = std::from_chars(m_text.data() + begin, last, value);
    return error == std::errc() && end == last;
}

bool JsonCursor::readInteger(std::int64_t &value)
{
    return readNumber(value);
}

bool JsonCursor::readInteger(std::uint64_t &value)
{
    return readNumber(value);
}

bool JsonCursor::skipString()
{
    std::string unescaped;
    for (++m_position; m_position < m_text.size();) {
        const char character = m_text[m_position++];
        if (character == '"')
            return true;
        if (character == '\\' && !readEscape(unescaped))
            return false;
    }
    return false;
}

bool JsonCursor::skipNumber()
{
    const auto skipDigits = [this] {
        const std::size_t begin = m_position;
        while (m_position < m_text.size() && isDigit(m_text[m_position]))
            ++m_position;
        return m_position > begin;
    };
    const auto isNext = [this](std::string_view characters) {
        return m_position < m_text.size()
                && characters.find(m_text[m_position]) != std::string_view::npos;
    };
    if (isNext("-"))
        ++m_position;
    if (!skipDigits())
        return false;
    if (isNext(".")) {
        ++m_position;
        if (!skipDigits())
            return false;
    }
    if (!isNext("eE"))
        return true;
    ++m_position;
    if (isNext("+-"))
        ++m_position;
    return skipDigits();
}

bool JsonCursor::skipItems(char end, bool hasNames, int depth)
{
    ++m_position;
    if (take(end))
        return true;
    do {
        if (hasNames && (!isAt('"') || !skipString() || !take(':')))
            return false;
        if (!skipNested(depth))
            return false;
    } while (take(','));
    return take(end);
}

bool JsonCursor::skipNested(int depth)
{
    skipSpace();
    if (depth > MaxDepth || m_position == m_text.size())
        return false;
    switch (m_text[m_position]) {
    case '"':
        return skipString();
    case '[':
        return skipItems(']', false, depth + 1);
    case '{':
        return skipItems('}', true, depth + 1);
    case 't':
        return skipWord("true");
    case 'f':
        return skipWord("false");
    case 'n':
        return skipWord("null");
    default:
        return skipNumber();
    }
}

bool JsonCursor::skipValue(std::string_view &extent)
{
    skipSpace();
    const std::size_t begin = m_position;
    if (!skipNested(0))
        return false;
    extent = m_text.substr(begin, m_position - begin);
    return true;
}

bool JsonCursor::skipValue()
{
    std::string_view extent;
    return skipValue(extent);
}

} // namespace gentiancross
