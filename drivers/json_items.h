#pragma once

#include <simdjson.h>

namespace gentiancross {

/**
 * Steps through the elements of a JSON array from front to back. Thread safety: one thread at a
 * time.
 */
class JsonItems
{
public:
    /** Nothing may be read elsewhere in the same text between the calls of this object, except the
     * element that next() returned last. */
    explicit JsonItems(simdjson::ondemand::value json);

    /** Moves on to the next element. False if there is none, if \a json is no array, or if the text
     * is malformed. An element that was not read is skipped without a check of what it contains. */
    bool next(simdjson::ondemand::value &item);
    /** Moves on. True if the array ends here. */
    bool isAtEnd();

private:
    enum class State { Begin, Inside, End, Failed };

    simdjson::ondemand::array_iterator m_next;
    State m_state = State::Failed;
};

} // namespace gentiancross
