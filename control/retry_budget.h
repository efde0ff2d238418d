#pragma once

#include <algorithm>

namespace gentiancross {

/**
 * Keeps retries to a part of the first attempts, so that a failing fleet is not loaded further.
 * Thread safety: owned by the control thread.
 */
class RetryBudget
{
public:
    void addFirstAttempt() { m_tokens = std::min(m_tokens + TokensPerAttempt, MostTokens); }

    /** True if one more retry is allowed; takes it. */
    bool tryTake()
    {
        if (m_tokens < 1.0)
            return false;
        m_tokens -= 1.0;
        return true;
    }

private:
    static constexpr double TokensPerAttempt = 0.2;
    static constexpr double MostTokens = 100.0;

    double m_tokens = MostTokens;
};

} // namespace gentiancross
