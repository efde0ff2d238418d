#include "control/jobs/task_fit.h"

#include <algorithm>

namespace gentiancross {

namespace {

constexpr std::int64_t Milli = 1000;
/** The result for a task that requests nothing; leaves room for arithmetic. */
constexpr std::int64_t Unlimited = 1'000'000'000'000'000;

/** The least of \a count(room, requested) over the components that \a task requests. */
template <typename Count>
std::uint64_t leastOver(const Resources &room, const Resources &task, Count count)
{
    std::int64_t least = Unlimited;
    const auto consider = [&](std::int64_t left, std::int64_t requested) {
        if (requested > 0)
            least = std::min(least, count(std::max<std::int64_t>(left, 0), requested));
    };
    consider(room.cores.value(), task.cores.value());
    consider(room.memory.value(), task.memory.value());
    consider(room.accelerators.value(), task.accelerators.value());
    return static_cast<std::uint64_t>(least);
}

} // namespace

std::uint64_t wholeTasksIn(const Resources &room, const Resources &task)
{
    return leastOver(room, task,
                     [](std::int64_t left, std::int64_t requested) { return left / requested; });
}

std::uint64_t wholeTasksOnWorker(const Resources &room, const StepSpec &step)
{
    const std::uint64_t tasks = wholeTasksIn(room, step.reserved());
    return step.maxPerWorker > 0 ? std::min<std::uint64_t>(tasks, step.maxPerWorker) : tasks;
}

std::uint64_t milliTasksIn(const Resources &room, const Resources &task)
{
    return leastOver(room, task, [](std::int64_t left, std::int64_t requested) {
        return (left * Milli + requested - 1) / requested;
    });
}

} // namespace gentiancross
