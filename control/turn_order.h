#pragma once

#include "core/ids.h"

#include <set>
#include <unordered_map>

namespace gentiancross {

/** A team that may be able to start something, with its sort key. */
struct Turn
{
    /** False if the team's next item is urgent. */
    bool isOrdinary = true;
    double rank = 0.0;
    TeamId team;

    /** Teams whose next item is urgent first, then by rank, then by name so that ties are stable.
     */
    auto operator<=>(const Turn &) const = default;
};

/**
 * The teams that may be able to start something, sorted by turn. The scheduler keeps it up to date
 * between decisions, so that the cost of a decision hardly depends on how many teams wait.
 * Thread safety: owned by the control thread.
 */
class TurnOrder
{
public:
    /** Adds the team, or moves it to its new position. */
    void put(const Turn &turn);
    /** Removes the team; does nothing if it is not listed. */
    void remove(const TeamId &team);
    /** The next turn, or null if no team is able to start anything. */
    [[nodiscard]] const Turn *first() const;

private:
    using Turns = std::set<Turn>;

    Turns m_turns;
    std::unordered_map<TeamId, Turns::iterator> m_places;
};

} // namespace gentiancross
