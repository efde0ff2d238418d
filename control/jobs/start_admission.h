#pragma once

#include "core/job_calls.h"

#include <cstddef>
#include <map>

namespace gentiancross {

/** Limits the number of concurrent starts, so that orders do not queue up on this host. Queried by
 * `StartPlanner` before each plan. */
class StartAdmission
{
public:
    StartAdmission() = default;
    StartAdmission(const StartAdmission &) = delete;
    StartAdmission &operator=(const StartAdmission &) = delete;
    virtual ~StartAdmission() = default;

    /** Maximum number of concurrent starts. */
    [[nodiscard]] virtual std::size_t limit() const = 0;
    /** Number of further starts that may be decided at \a now. */
    [[nodiscard]] virtual std::size_t availableStarts(Instant now) const = 0;
    /** Called when a start was deferred because of the limit. */
    virtual void onStartDeferred() = 0;
    /** Called when a start order leaves the control thread for the first time. */
    virtual void onStartOrdered(Instant now, CallId call) = 0;
    /** Called when a call of any kind has ended. */
    virtual void onCallAnswered(Instant now, CallId call, WorkerVerdict verdict) = 0;
};

/** The settings of `DelayAdmission`. */
struct AdmissionSettings
{
    /** If all answers take longer than this, the host is overloaded: half an order's validity; the
     * other half is for the network and the worker. */
    Milliseconds targetDelay{200};
    /** Minimum time between changes of the limit. */
    Milliseconds interval{100};
    /** An older order has been sent or returned unsent, so it no longer counts against the limit:
     * it waits for its worker, not on this host. */
    Milliseconds validity{400};
    /** Limit of a new leader. */
    std::size_t initialLimit = 128;
    /** Lower bound while answers are late: a slow link delays answers too, and 128 orders leave
     * within their validity at 320 a second. */
    std::size_t minLimitOnLateAnswers = 128;
    /** Lower bound when orders became too old to be sent. */
    std::size_t minLimit = 32;
    std::size_t maxLimit = 4096;
};

/**
 * Adapts the limit to the measured delay of answers. Each interval it grows by a quarter if the
 * limit was reached and the fastest answer was in time, and shrinks by a quarter if even the
 * fastest was late. A slow worker makes only some answers late; a host short of CPU time makes all
 * of them late. Thread safety: owned by the control thread.
 */
class DelayAdmission final : public StartAdmission
{
public:
    explicit DelayAdmission(const AdmissionSettings &settings);

    [[nodiscard]] std::size_t limit() const override { return m_limit; }
    [[nodiscard]] std::size_t availableStarts(Instant now) const override;
    void onStartDeferred() override { m_reachedLimit = true; }
    void onStartOrdered(Instant now, CallId call) override;
    void onCallAnswered(Instant now, CallId call, WorkerVerdict verdict) override;

private:
    void adapt(Instant now);

    AdmissionSettings m_settings;
    std::size_t m_limit;
    /** When each start in flight was ordered; call ids increase with time. */
    std::map<CallId, Instant> m_startsInFlight;
    Instant m_intervalEnd;
    /** Shortest delay of the answers in this interval. */
    Milliseconds m_minDelay;
    std::size_t m_answers = 0;
    bool m_reachedLimit = false;
    bool m_hadUnsent = false;
};

} // namespace gentiancross
