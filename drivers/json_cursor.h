#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace gentiancross {

/**
 * Reads a JSON text from front to back without building a tree of it. Each function skips leading
 * white space, reads one item and returns true, or returns false if the text has something else
 * there; the position is then unspecified. Thread safety: one thread at a time.
 */
class JsonCursor
{
public:
    /** \a text must outlive this object. */
    explicit JsonCursor(std::string_view text)
        : m_text(text)
    {}

    /** Reads the character \a wanted, which is one of []{},: */
    bool take(char wanted);
    /** True if the next character is \a wanted. */
    [[nodiscard]] bool isAt(char wanted);
    bool readString(std::string &value);
    bool readBool(bool &value);
    bool readNull();
    /** Reads a whole number; false if it has a fraction or an exponent or is out of range. */
    bool readInteger(std::int64_t &value);
    bool readInteger(std::uint64_t &value);
    /** Reads any value; \a extent is its text. */
    bool skipValue(std::string_view &extent);
    bool skipValue();
    /** True if only white space is left. */
    [[nodiscard]] bool isAtEnd();

    [[nodiscard]] std::size_t position() const { return m_position; }
    /** Precondition: position() returned \a position before. */
    void returnTo(std::size_t position) { m_position = position; }

private:
    void skipSpace();
    bool readEscape(std::string &value);
    bool readHexDigits(std::uint32_t &unit);
    bool skipString();
    bool skipNumber();
    bool skipWord(std::string_view word);
    bool skipItems(char end, bool hasNames, int depth);
    bool skipNested(int depth);
    template <typename Integer>
    bool readNumber(Integer &value);

    std::string_view m_text;
    std::size_t m_position = 0;
};

} // namespace gentiancross
