#include "tests/control/jobs/virtual_processor.h"

#include <utility>

namespace gentiancross::tests {

namespace {

constexpr std::int64_t WholeCore = 1000;

} // namespace

Instant timeOf(const VirtualTime &time)
{
    constexpr Milliseconds SinceBoot{100'000};
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(time.now());
    return Instant(now.count()) + SinceBoot;
}

void VirtualTime::after(Span delay, Action action)
{
    m_timed.push({m_now + delay, ++m_last, std::move(action)});
}

void VirtualTime::run(Span span)
{
    const Span until = m_now + span;
    while (!m_timed.empty() && m_timed.top().at <= until) {
        const Timed next = m_timed.top();
        m_timed.pop();
        m_now = next.at;
        next.action();
    }
    m_now = until;
}

VirtualProcessor::VirtualProcessor(VirtualTime &time, std::int64_t permille)
    : m_time(time)
    , m_permille(permille)
{}

void VirtualProcessor::post(Thread thread, VirtualTime::Span work, VirtualTime::Action action)
{
    m_queues.at(static_cast<std::size_t>(thread)).push_back({work, std::move(action)});
    if (!m_isBusy)
        next();
}

void VirtualProcessor::next()
{
    if (m_queues[0].empty() && m_queues[1].empty())
        return;
    m_turn = (m_turn + 1) % m_queues.size();
    if (m_queues.at(m_turn).empty())
        m_turn = (m_turn + 1) % m_queues.size();
    Item item = std::move(m_queues.at(m_turn).front());
    m_queues.at(m_turn).pop_front();
    m_isBusy = true;
    m_time.after(item.work * WholeCore / m_permille, [this, action = std::move(item.action)] {
        action();
        m_isBusy = false;
        next();
    });
}

} // namespace gentiancross::tests
