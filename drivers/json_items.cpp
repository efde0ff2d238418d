#include "drivers/json_items.h"

namespace gentiancross {

JsonItems::JsonItems(simdjson::ondemand::value json)
{
    simdjson::ondemand::array array;
    if (json.get_array().get(array) == simdjson::SUCCESS
        && array.begin().get(m_next) == simdjson::SUCCESS)
        m_state = State::Begin;
}

bool JsonItems::next(simdjson::ondemand::value &item)
{
    if (m_state == State::Inside)
        ++m_next;
    if (m_state == State::End || m_state == State::Failed)
        return false;
    if (m_next == simdjson::ondemand::array_iterator()) {
        m_state = State::End;
        return false;
    }
    // A failed step leaves its error for the next access.
    m_state = (*m_next).get(item) == simdjson::SUCCESS ? State::Inside : State::Failed;
    return m_state == State::Inside;
}

bool JsonItems::isAtEnd()
{
    simdjson::ondemand::value item;
    return !next(item) && m_state == State::End;
}

} // namespace gentiancross
