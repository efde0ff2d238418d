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
    struct Timed
    {
        Span at;
        std::uint64_t number = 0;
        Action action;

        bool operator>(const Timed &other) const
        {
            return std::tie(at, number) > std::tie(other.at, other.number);
        }
    };

    Span m_now{0};
    std::uint64_t m_last = 0;
    std::priority_queue<Timed, std::vector<Timed>, std::greater<>> m_timed;
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

    /** Runs \a action on \a thread once \a work of processor time has been spent on it. */
    void post(Thread thread, VirtualTime::Span work, VirtualTime::Action action);

private:
    struct Item
    {
        VirtualTime::Span work;
        VirtualTime::Action action;
    };

    void next();

    VirtualTime &m_time;
    std::int64_t m_permille;
    std::array<std::deque<Item>, 2> m_queues;
    std::size_t m_turn = 0;
    bool m_isBusy = false;
};

} // namespace gentiancross::tests
