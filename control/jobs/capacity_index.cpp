#include "control/jobs/capacity_index.h"

#include <algorithm>

namespace gentiancross {

namespace {

void addLargest(std::vector<Resources> &largest, const Resources &capacity)
{
    const bool isCovered = std::any_of(largest.begin(), largest.end(), [&](const Resources &other) {
        return capacity.fitsIn(other);
    });
    if (isCovered)
        return;
    std::erase_if(largest, [&](const Resources &other) { return other.fitsIn(capacity); });
    largest.push_back(capacity);
}

} // namespace

void CapacityIndex::add(const WorkerReport &report)
{
    addLargest(m_largest[{report.pool, {}}], report.capacity);
    for (const std::string &label : report.labels)
        addLargest(m_largest[{report.pool, label}], report.capacity);
}

bool CapacityIndex::canHold(const PoolId &pool, const StepSpec &step) const
{
    const auto found = m_largest.find({pool, step.requiredLabel});
    if (found == m_largest.end())
        return false;
    const Resources task = step.reserved();
    return std::any_of(found->second.begin(), found->second.end(),
                       [&](const Resources &capacity) { return task.fitsIn(capacity); });
}

} // namespace gentiancross
