#include "tests/control/jobs/virtual_processor.h"

#include <utility>

namespace gentiancross::tests {

namespace {

constexpr std::int64_t WholeCorePermille = 1000;

} // namespace

Instant timeOf(const VirtualTime &time)
{
    constexpr Milliseconds SinceBoot{100'000};
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(time.now());
    return Instant(now.count()) + SinceBoot;
}

void VirtualTime::after(Span delay, Action action)
{
    m_actions.push({m_now + delay, ++m_lastNumber, std::move(action)});
}

void VirtualTime::run(Span span)
{
    const Span until = m_now + span;
    while (!m_actions.empty() && m_actions.top().at <= until) {
        const TimedAction next = m_actions.top();
        m_actions.pop();
        m_now = next.at;
        next.action();
    }
    m_now = until;
}

VirtualProcessor::VirtualProcessor(VirtualTime &time, std::int64_t permille)
    : m_time(time)
    , m_permille(permille)
{}

void VirtualProcessor::post(Thread thread, VirtualTime::Span cost, VirtualTime::Action action)
{
    m_queues.at(static_cast<std::size_t>(thread)).push_back({cost, std::move(action)});
    if (!m_isBusy)
        runNext();
}

void VirtualProcessor::runNext()
{
    if (m_queues[0].empty() && m_queues[1].empty())
        return;
    m_lastServedQueue = (m_lastServedQueue + 1) % m_queues.size();
    if (m_queues.at(m_lastServedQueue).empty())
        m_lastServedQueue = (m_lastServedQueue + 1) % m_queues.size();
    Item item = std::move(m_queues.at(m_lastServedQueue).front());
    m_queues.at(m_lastServedQueue).pop_front();
    m_isBusy = true;
    m_time.after(item.cost * WholeCorePermille / m_permille,
                 [this, action = std::move(item.action)] {
                     action();
                     m_isBusy = false;
                     runNext();
                 });
}

} // namespace gentiancross::tests
