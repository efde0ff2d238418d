#pragma once

#include <algorithm>

namespace gentiancross {

/**
 * Token bucket that limits retries to a fraction of the first attempts, so that retries do not
 * overload failing workers. Called by RequestTracker.
 * Thread safety: owned by the control thread.
 */
class RetryBudget
{
public:
    void addFirstAttempt() { m_tokens = std::min(m_tokens + TokensPerAttempt, MaxTokens); }

    /** Takes a token for one retry; returns false if there is none. */
    bool tryTake()
    {
        if (m_tokens < 1.0)
            return false;
        m_tokens -= 1.0;
        return true;
    }

private:
    static constexpr double TokensPerAttempt = 0.2;
    static constexpr double MaxTokens = 100.0;

    double m_tokens = MaxTokens;
};

} // namespace gentiancross
