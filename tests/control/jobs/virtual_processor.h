#pragma once

#include "core/units.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <queue>
#include <tuple>
#include <vector>

namespace gentiancross::tests {

/** Runs actions in the order of their times; no time passes while one runs. */
class VirtualTime
{
public:
    using Span = std::chrono::microseconds;
    using Action = std::function<void()>;

    void after(Span delay, Action action);
    /** Runs what falls into the next \a span. */
    void run(Span span);
    /** Since this object was made. */
    [[nodiscard]] Span now() const { return m_now; }

private:
    struct TimedAction
    {
        Span at;
        std::uint64_t number = 0;
        Action action;

        bool operator>(const TimedAction &other) const
        {
            return std::tie(at, number) > std::tie(other.at, other.number);
        }
    };

    Span m_now{0};
    std::uint64_t m_lastNumber = 0;
    std::priority_queue<TimedAction, std::vector<TimedAction>, std::greater<>> m_actions;
};

/** The time on a host's clock, which is far from zero as after a boot. */
Instant timeOf(const VirtualTime &time);

/** Threads of one process that share a part of a processor; each works its own queue off in order.
 */
class VirtualProcessor
{
public:
    enum class Thread { Control, Calls };

    /** \a permille of a core. \a time must outlive this object. */
    VirtualProcessor(VirtualTime &time, std::int64_t permille);

    /** Runs \a action on \a thread once \a cost of processor time has been spent on it. */
    void post(Thread thread, VirtualTime::Span cost, VirtualTime::Action action);

private:
    struct Item
    {
        VirtualTime::Span cost;
        VirtualTime::Action action;
    };

    void runNext();

    VirtualTime &m_time;
    std::int64_t m_permille;
    std::array<std::deque<Item>, 2> m_queues;
    std::size_t m_nextQueue = 0;
    bool m_isBusy = false;
};

} // namespace gentiancross::tests
