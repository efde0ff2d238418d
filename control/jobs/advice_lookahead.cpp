#include "control/jobs/advice_lookahead.h"

#include "control/jobs/start_policy.h"
#include "control/jobs/task_fit.h"

#include <algorithm>

namespace gentiancross {

namespace {

/** The percentage of a capacity that counts as room while it is in use: about what becomes free
 * while an answer is in flight. */
constexpr std::int64_t AheadPercent = 25;
constexpr std::int64_t Percent = 100;
/** The capacity of part of a task is counted in thousandths. */
constexpr std::int64_t Milli = 1000;

/** Stands for a capacity without a limit; leaves room for arithmetic. */
constexpr std::int64_t Unlimited = 1'000'000'000'000'000;

Resources multiply(const Resources &resources, std::int64_t factor, std::int64_t divisor = 1)
{
    Resources product;
    product.cores = resources.cores * factor / divisor;
    product.memory = resources.memory * factor / divisor;
    product.accelerators = resources.accelerators * factor / divisor;
    return product;
}

/** What a cap leaves beside \a used; a component of the cap that is 0 is no limit. */
Resources roomWithin(const Resources &cap, const Resources &used)
{
    Resources room = cap;
    room -= used;
    if (cap.cores == MilliCores(0))
        room.cores = MilliCores(Unlimited);
    if (cap.memory == Mebibytes(0))
        room.memory = Mebibytes(Unlimited);
    if (cap.accelerators == Accelerators(0))
        room.accelerators = Accelerators(Unlimited);
    return room;
}

/** True if tasks of the step could run on the worker beside the long-running tasks there and, as
 * far as is known, the adviser allows it. */
bool isEligible(const PooledWorker &worker, const Job &job, const StepSpec &step,
                const Advice &advice)
{
    return couldRunWhenIdle(worker, job.terms.pool, step)
            && step.reserved().fitsIn(worker.capacityBesideLongRunning())
            && !advice.isUnsuitable(worker.report.incarnation.worker);
}

/** The number of tasks that fit in \a left and in what the worker has free. */
std::uint64_t wholeTasksNow(const PooledWorker &worker, const Resources &left,
                            const Resources &task)
{
    return std::min(wholeTasksIn(left, task), wholeTasksIn(worker.freeCapacity(), task));
}

bool hasCores(const Resources &room)
{
    return room.cores > MilliCores(0);
}

} // namespace

AdviceLookahead::AdviceLookahead(Instant now, const TeamUsage &usage, WorkerPool &pool)
    : m_usage(usage)
{
    for (const auto &[incarnation, worker] : pool.all()) {
        if (!WorkerPool::isUsable(worker, now))
            continue;
        m_workers.push_back(&worker);
        Resources room = worker.freeCapacity();
        room += multiply(worker.report.capacity, AheadPercent, Percent);
        if (hasCores(room))
            m_rooms.push_back({&worker, room});
    }
}

bool AdviceLookahead::claim(const Job &job, const StepSpec &step, const Advice &advice,
                            std::uint64_t tasks, bool mayHold)
{
    if (!canHold(job, step, advice, step.isGang ? step.count : 1))
        return false;
    const Resources cap = m_usage.cap(job.terms.team);
    Resources &waiting = m_waiting[job.terms.team];
    Resources used = m_usage.running(job.terms.team);
    used += waiting;
    const Resources wanted = multiply(step.perTask, static_cast<std::int64_t>(tasks));
    const std::uint64_t withinCap
            = std::min(tasks, wholeTasksIn(roomWithin(cap, used), step.perTask));
    const Resources capAhead = multiply(cap, Percent + AheadPercent, Percent);
    const bool mayStartSoon = milliTasksIn(roomWithin(capAhead, used), step.perTask) > 0;
    const std::uint64_t startable = step.isGang && withinCap < tasks ? 0 : withinCap;
    if (startable == 0) {
        if (mayHold)
            waiting += wanted;
        return mayStartSoon && !m_rooms.empty();
    }
    const std::uint64_t claimed = claimRooms(job, step, advice, startable * Milli, mayHold);
    if (claimed > 0)
        waiting += wanted;
    m_claimedMilliTasks += claimed;
    return claimed > 0;
}

std::uint64_t AdviceLookahead::claimedTasks() const
{
    return m_claimedMilliTasks / Milli;
}

bool AdviceLookahead::canHold(const Job &job, const StepSpec &step, const Advice &advice,
                              std::uint64_t tasks) const
{
    const Resources capLeft
            = roomWithin(m_usage.cap(job.terms.team), m_usage.longRunning(job.terms.team));
    if (wholeTasksIn(capLeft, step.perTask) < tasks)
        return false;
    std::uint64_t held = 0;
    for (const PooledWorker *const worker : m_workers) {
        if (held >= tasks)
            break;
        if (!isEligible(*worker, job, step, advice))
            continue;
        held += wholeTasksOnWorker(worker->capacityBesideLongRunning(), step);
    }
    return held >= tasks;
}

std::uint64_t AdviceLookahead::claimRooms(const Job &job, const StepSpec &step,
                                          const Advice &advice, std::uint64_t milliTasks,
                                          bool mayHold)
{
    const Resources task = step.reserved();
    const std::uint64_t mostPerWorker = step.maxPerWorker * Milli;
    std::uint64_t claimed = 0;
    for (std::size_t index = 0; index < m_rooms.size() && claimed < milliTasks;) {
        Room &room = m_rooms[index];
        if (isEligible(*room.worker, job, step, advice)) {
            const std::uint64_t most = mayHold
                    ? milliTasksIn(room.left, task)
                    : Milli * wholeTasksNow(*room.worker, room.left, task);
            std::uint64_t here = std::min(milliTasks - claimed, most);
            if (step.maxPerWorker > 0)
                here = std::min(here, mostPerWorker);
            room.left -= multiply(task, static_cast<std::int64_t>(here), Milli);
            claimed += here;
        }
        if (hasCores(room.left)) {
            ++index;
        } else {
            room = m_rooms.back();
            m_rooms.pop_back();
        }
    }
    return claimed;
}

} // namespace gentiancross
