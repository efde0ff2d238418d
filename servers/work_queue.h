#pragma once

#include <ace/Condition_Thread_Mutex.h>
#include <ace/Guard_T.h>
#include <ace/Thread_Mutex.h>

#include <deque>
#include <utility>
#include <vector>

namespace gentiancross {

/**
 * A queue of items for one consuming thread, which sleeps while the queue is empty.
 * Thread safety: put and close from any thread, takeAll from the consumer.
 */
template <typename Item>
class WorkQueue
{
public:
    /** If there are more than \a maxItems, the oldest is dropped; 0 means unbounded. */
    explicit WorkQueue(std::size_t maxItems = 0)
        : m_maxItems(maxItems)
        , m_filled(m_mutex)
    {}

    void put(Item item)
    {
        const ACE_Guard<ACE_Thread_Mutex> guard(m_mutex);
        if (m_maxItems != 0 && m_items.size() >= m_maxItems)
            m_items.pop_front();
        m_items.push_back(std::move(item));
        // The consumer waits only while the queue is empty, so only its first item needs a signal.
        if (m_items.size() == 1)
            m_filled.signal();
    }

    /** Waits for items and removes all of them; an empty result means that the queue is closed. */
    std::vector<Item> takeAll()
    {
        const ACE_Guard<ACE_Thread_Mutex> guard(m_mutex);
        while (m_items.empty() && !m_closed)
            m_filled.wait();
        std::vector<Item> items(std::make_move_iterator(m_items.begin()),
                                std::make_move_iterator(m_items.end()));
        m_items.clear();
        return items;
    }

    /** Closes the queue; the consumer still gets the items left in it. */
    void close()
    {
        const ACE_Guard<ACE_Thread_Mutex> guard(m_mutex);
        m_closed = true;
        m_filled.signal();
    }

private:
    std::size_t m_maxItems;
    ACE_Thread_Mutex m_mutex;
    ACE_Condition_Thread_Mutex m_filled;
    std::deque<Item> m_items;
    bool m_closed = false;
};

} // namespace gentiancross
