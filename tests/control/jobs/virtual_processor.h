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

/** Owns the virtual clock and runs actions in the order of their due times. The clock does not
 * advance while an action runs. */
class VirtualTime
{
public:
    using Span = std::chrono::microseconds;
    using Action = std::function<void()>;

    void after(Span delay, Action action);
    /** Runs all actions that are due within the next \a span. */
    void run(Span span);
    /** Time since this object was created. */
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

/** The time on a host's clock, which starts far from zero, as on a host that has been up for a
 * while. */
Instant timeOf(const VirtualTime &time);

/** Simulates threads of one process that share part of a processor. Each thread processes its own
 * queue in order. */
class VirtualProcessor
{
public:
    enum class Thread { Control, Calls };

    /** \a permille is the share of a core in thousandths. \a time must outlive this object. */
    VirtualProcessor(VirtualTime &time, std::int64_t permille);

    /** Runs \a action on \a thread after spending \a cost of processor time on it. */
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
    std::size_t m_lastServedQueue = 0;
    bool m_isBusy = false;
};

} // namespace gentiancross::tests
