#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <map>
#include <optional>

namespace gentiancross {

/** The waiting gangs and since when each waits. Thread safety: owned by the control thread. */
class WaitingGangs
{
public:
    /** Adds a waiting gang; one that waits already keeps its time. */
    void add(Instant now, const RequestId &gang) { m_since.try_emplace(gang, now); }
    void remove(const RequestId &gang) { m_since.erase(gang); }
    /** The gang that has waited longest, if that is long enough for workers to be drained for it.
     */
    [[nodiscard]] std::optional<RequestId> longest(Instant now) const;

private:
    std::map<RequestId, Instant> m_since;
};

} // namespace gentiancross
