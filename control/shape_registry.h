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
 * Assigns numbers to the shapes of work (tasks of one shape fit the same workers) and caches which
 * shapes fit on no worker, so that the scheduler does not try them again before free capacity that
 * could fit them increases.
 * Thread safety: owned by the control thread.
 */
class ShapeRegistry
{
public:
    /** Further shapes get no number, which bounds the memory that callers can fill with new shapes.
     */
    static constexpr std::size_t MaxShapes = 16'384;

    /** The number of the spec's shape, the same for equal shapes; 0 if the registry is full. */
    std::uint32_t registerShape(const WorkSpec &spec);

    /** True if the shape is known to fit on no worker at present. */
    [[nodiscard]] bool isUnfit(std::uint32_t shape) const { return m_unfit.contains(shape); }
    /** Records that the shape fits on no worker; a \a shape of 0 stands for all without a number.
     */
    void markUnfit(std::uint32_t shape);
    /** Must be called when a worker's free capacity may have increased. True if a shape that did
     * not fit may fit now. */
    bool onCapacityIncreased(const IndexedWorker &worker);

private:
    struct Shape
    {
        Resources perTask;
        Labels selector;
    };

    std::unordered_map<std::string, std::uint32_t> m_numbers;
    /** By number; entry 0 stands for the shapes without a number. */
    std::vector<Shape> m_shapes{1};
    std::unordered_set<std::uint32_t> m_unfit;
};

} // namespace gentiancross
