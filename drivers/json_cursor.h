#pragma once

#include <simdjson.h>

#include <cstddef>
#include <string_view>

namespace gentiancross {

/**
 * Reads a JSON text from front to back without building a tree of it. It holds a copy of the text,
 * in which the values that it returns are valid as long as this object lives. Thread safety: one
 * thread at a time.
 */
class JsonCursor
{
public:
    explicit JsonCursor(std::string_view text);
    JsonCursor(const JsonCursor &) = delete;
    JsonCursor &operator=(const JsonCursor &) = delete;

    /** Starts reading the outermost value. Returns false if it is no array and no object, or if the
     * text is malformed. To be called once. */
    bool open(simdjson::ondemand::value &value);
    /** Reads the whole outermost value, as open() and skip() do. */
    bool skipValue();
    /** True if only white space is left. Precondition: as for position(). */
    [[nodiscard]] bool isAtEnd();

    /** True if the text has bytes that are not UTF-8 or control characters in strings. Such texts
     * can't be read here. */
    [[nodiscard]] bool hasOddBytes() const;
    /** The position of the next item in the text, or the text's size if there is none.
     * Precondition: open() has returned true, and so did all reading since. */
    [[nodiscard]] std::size_t position();
    /** The position of a part of the text. Precondition: \a part is of a value of this object. */
    [[nodiscard]] std::size_t positionOf(std::string_view part) const;

    /** Reads a value and all that it contains. Returns false if it is malformed or nested too
     * deeply. */
    static bool skip(simdjson::ondemand::value value, int depth = 0);

private:
    static bool skipFields(simdjson::ondemand::value value, int depth);

    simdjson::padded_string m_text;
    simdjson::ondemand::parser m_parser;
    simdjson::ondemand::document m_document;
    simdjson::error_code m_error;
};

} // namespace gentiancross
