#include "control/jobs/start_admission.h"

#include <algorithm>
#include <iterator>

namespace gentiancross {

DelayAdmission::DelayAdmission(const AdmissionSettings &settings)
    : m_settings(settings)
    , m_limit(settings.initialLimit)
{}

std::size_t DelayAdmission::availableStarts(Instant now) const
{
    const auto mayQueue
            = [&](const auto &entry) { return now - entry.second < m_settings.validity; };
    const auto first = std::find_if(m_startsInFlight.begin(), m_startsInFlight.end(), mayQueue);
    const auto queued = static_cast<std::size_t>(std::distance(first, m_startsInFlight.end()));
    return m_limit - std::min(m_limit, queued);
}

void DelayAdmission::onStartOrdered(Instant now, CallId call)
{
    m_startsInFlight.emplace(call, now);
    m_reachedLimit = m_reachedLimit || m_startsInFlight.size() >= m_limit;
}

void DelayAdmission::onCallAnswered(Instant now, CallId call, WorkerVerdict verdict)
{
    const auto found = m_startsInFlight.find(call);
    if (found == m_startsInFlight.end())
        return;
    const Milliseconds delay = now - found->second;
    m_startsInFlight.erase(found);
    // A worker that does not answer says nothing about the load of this host.
    if (verdict == WorkerVerdict::NoAnswer)
        return;
    m_minDelay = m_answers == 0 ? delay : std::min(m_minDelay, delay);
    m_hadUnsent = m_hadUnsent || verdict == WorkerVerdict::NotSent;
    ++m_answers;
    if (now >= m_intervalEnd)
        adapt(now);
}

void DelayAdmission::adapt(Instant now)
{
    const std::size_t least = m_hadUnsent ? m_settings.minLimit : m_settings.minLimitOnLateAnswers;
    if (m_minDelay > m_settings.targetDelay || m_hadUnsent)
        m_limit = std::max(std::min(m_limit, least), m_limit - m_limit / 4);
    else if (m_reachedLimit)
        m_limit = std::min(m_settings.maxLimit, m_limit + m_limit / 4);
    m_intervalEnd = now + m_settings.interval;
    m_answers = 0;
    m_reachedLimit = m_startsInFlight.size() >= m_limit;
    m_hadUnsent = false;
}

} // namespace gentiancross
