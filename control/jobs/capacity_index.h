#pragma once

#include "core/job_calls.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace gentiancross {

/**
 * The largest capacities of the workers of each pool, by label, so that a step which no worker
 * could run even when idle is recognised without a look at each worker. Owned by `WorkerPool`.
 * Thread safety: owned by the control thread.
 */
class CapacityIndex
{
public:
    void add(const WorkerReport &report);
    void clear() { m_largest.clear(); }

    /** True if a worker that was added has the capacity, the pool and the label for a task of the
     * step. */
    [[nodiscard]] bool canHold(const PoolId &pool, const StepSpec &step) const;

private:
    /** By pool and label, capacities of which none fits in another. The empty label stands for all
     * workers of the pool. */
    std::map<std::pair<PoolId, std::string>, std::vector<Resources>> m_largest;
};

} // namespace gentiancross
