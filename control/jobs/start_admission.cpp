#include "control/jobs/start_admission.h"

#include <algorithm>
#include <iterator>

namespace gentiancross {

DelayAdmission::DelayAdmission(const AdmissionSettings &terms)
    : m_terms(terms)
    , m_limit(terms.initialLimit)
{}

std::size_t DelayAdmission::room(Instant now) const
{
    const auto mayQueue = [&](const auto &entry) { return now - entry.second < m_terms.validity; };
    const auto first = std::find_if(m_underWay.begin(), m_underWay.end(), mayQueue);
    const auto queued = static_cast<std::size_t>(std::distance(first, m_underWay.end()));
    return m_limit - std::min(m_limit, queued);
}

void DelayAdmission::ordered(Instant now, CallId call)
{
    m_underWay.emplace(call, now);
    m_wasFull = m_wasFull || m_underWay.size() >= m_limit;
}

void DelayAdmission::answered(Instant now, CallId call, WorkerVerdict verdict)
{
    const auto found = m_underWay.find(call);
    if (found == m_underWay.end())
        return;
    const Milliseconds delay = now - found->second;
    m_underWay.erase(found);
    // A silent worker says nothing of this host.
    if (verdict == WorkerVerdict::NoAnswer)
        return;
    m_leastDelay = m_answers == 0 ? delay : std::min(m_leastDelay, delay);
    m_hadUnsent = m_hadUnsent || verdict == WorkerVerdict::NotSent;
    ++m_answers;
    if (now >= m_intervalEnd)
        adapt(now);
}

void DelayAdmission::adapt(Instant now)
{
    const std::size_t least = m_hadUnsent ? m_terms.minLimit : m_terms.minLimitOnLateAnswers;
    if (m_leastDelay > m_terms.targetDelay || m_hadUnsent)
        m_limit = std::max(std::min(m_limit, least), m_limit - m_limit / 4);
    else if (m_wasFull)
        m_limit = std::min(m_terms.maxLimit, m_limit + m_limit / 4);
    m_intervalEnd = now + m_terms.interval;
    m_answers = 0;
    m_wasFull = m_underWay.size() >= m_limit;
    m_hadUnsent = false;
}

} // namespace gentiancross
