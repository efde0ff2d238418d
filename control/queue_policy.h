#pragma once

#include "core/units.h"

#include <cstdint>

namespace gentiancross {

/** What a queue policy needs to know about a team that has work waiting. */
struct TeamStanding
{
    Resources running;
    std::int64_t weight = 1;
    /** The arrival number of the team's next item. */
    std::uint64_t headArrival = 0;
};

/**
 * Ranks teams to decide whose work starts next; called by the scheduler. Implementations are pure;
 * calls on one object are reentrant.
 */
class QueuePolicy
{
public:
    QueuePolicy() = default;
    QueuePolicy(const QueuePolicy &) = delete;
    QueuePolicy &operator=(const QueuePolicy &) = delete;
    virtual ~QueuePolicy() = default;

    /** The team with the smallest rank goes first. \a total is the capacity of all usable workers.
     */
    [[nodiscard]] virtual double rank(const TeamStanding &team, const Resources &total) const = 0;
};

/**
 * Weighted dominant-resource fairness: the team with the smallest dominant share (its largest
 * fraction of any resource) divided by its weight goes first. Follows A. Ghodsi et al., "Dominant
 * Resource Fairness", NSDI 2011.
 */
class DominantShareQueue final : public QueuePolicy
{
public:
    [[nodiscard]] double rank(const TeamStanding &team, const Resources &total) const override;
};

/** First come, first served; the baseline for tests and benchmarks. */
class ArrivalQueue final : public QueuePolicy
{
public:
    [[nodiscard]] double rank(const TeamStanding &team, const Resources &total) const override;
};

} // namespace gentiancross
