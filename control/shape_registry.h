#pragma once

#include "control/worker_index.h"
#include "core/work.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace gentiancross {

/**
 * Numbers the shapes of work (tasks of one shape fit the same workers) and remembers which of them
 * fit on no worker, so that they are not tried again before room for them may have grown.
 * Thread safety: owned by the control thread.
 */
class ShapeRegistry
{
public:
    /** Beyond this many shapes new ones get no number, since callers can make up ever more. */
    static constexpr std::size_t MaxShapes = 16'384;

    /** The shape's number, the same for equal shapes; 0 if it gets none. */
    std::uint32_t numberOf(const WorkSpec &spec);

    /** True if the shape is known to fit on no worker. */
    [[nodiscard]] bool isUnfit(std::uint32_t shape) const { return m_unfit.contains(shape); }
    /** Remembers that the shape fits nowhere; a \a shape of 0 stands for any that has no number. */
    void markUnfit(std::uint32_t shape);
    /** To be told when a worker's room may have grown. True if something that did not fit may fit
     * now. */
    bool onCapacityIncreased(const IndexedWorker &worker);

private:
    struct Shape
    {
        Resources perTask;
        Labels selector;
    };

    std::unordered_map<std::string, std::uint32_t> m_numbers;
    /** By number; the first stands for those without one. */
    std::vector<Shape> m_shapes{1};
    std::unordered_set<std::uint32_t> m_unfit;
};

} // namespace gentiancross
