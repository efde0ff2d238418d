#include "control/turn_order.h"

namespace gentiancross {

void TurnOrder::put(const Turn &turn)
{
    remove(turn.team);
    m_places[turn.team] = m_turns.insert(turn).first;
}

void TurnOrder::remove(const TeamId &team)
{
    const auto place = m_places.find(team);
    if (place == m_places.end())
        return;
    m_turns.erase(place->second);
    m_places.erase(place);
}

const Turn *TurnOrder::first() const
{
    return m_turns.empty() ? nullptr : &*m_turns.begin();
}

} // namespace gentiancross
