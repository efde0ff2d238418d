#include "control/request_retention.h"

#include "core/request_name.h"

namespace gentiancross {

namespace {

/** For automatic names, and between attempts to forget a request. */
constexpr Milliseconds ShortRetention{30'000};
/** For names given by callers, who may resend under them. */
constexpr Milliseconds ResendRetention{600'000};

} // namespace

void RequestRetention::keep(Instant now, const RequestId &request)
{
    if (isAutomatic(request))
        m_shortTerm.push_back({now + ShortRetention, request});
    else
        m_longTerm.push_back({now + ResendRetention, request});
}

void RequestRetention::keepLonger(Instant now, const RequestId &request)
{
    m_shortTerm.push_back({now + ShortRetention, request});
}

std::vector<RequestId> RequestRetention::takeDue(Instant now)
{
    std::vector<RequestId> due;
    for (auto *queue : {&m_shortTerm, &m_longTerm}) {
        while (!queue->empty() && queue->front().until <= now) {
            due.push_back(std::move(queue->front().request));
            queue->pop_front();
        }
    }
    return due;
}

} // namespace gentiancross
