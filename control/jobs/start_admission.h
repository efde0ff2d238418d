#pragma once

#include "core/job_calls.h"

#include <cstddef>
#include <map>

namespace gentiancross {

/** Limits how many starts are under way at a time, so that orders do not queue on this host. */
class StartAdmission
{
public:
    StartAdmission() = default;
    StartAdmission(const StartAdmission &) = delete;
    StartAdmission &operator=(const StartAdmission &) = delete;
    virtual ~StartAdmission() = default;

    /** How many starts may be under way. */
    [[nodiscard]] virtual std::size_t limit() const = 0;
    /** How many more starts may be decided at \a now. */
    [[nodiscard]] virtual std::size_t room(Instant now) const = 0;
    /** A start was left out for which there was no room. */
    virtual void heldBack() = 0;
    /** A start leaves the control thread for the first time. */
    virtual void ordered(Instant now, CallId call) = 0;
    /** Any call is over. */
    virtual void answered(Instant now, CallId call, WorkerVerdict verdict) = 0;
};

/** The settings of `DelayAdmission`. */
struct AdmissionSettings
{
    /** Later answers than this, all of them, come from a host that is loaded: half an order's
     * validity, the other half is for the network and the worker. */
    Milliseconds targetDelay{200};
    /** How often the limit changes. */
    Milliseconds interval{100};
    /** An order that is older has left or was returned unsent; it waits for its worker, not here.
     */
    Milliseconds validity{400};
    /** The limit of a new leader. */
    std::size_t initialLimit = 128;
    /** The least that late answers lead to: a slow link delays answers too, and 128 orders leave
     * within their validity at 320 a second. */
    std::size_t minLimitOnLateAnswers = 128;
    /** The least that orders lead to which were too old to be sent. */
    std::size_t minLimit = 32;
    std::size_t maxLimit = 4096;
};

/**
 * Adapts the limit to the measured delay of answers: a quarter more while the limit is in use and
 * the fastest answers come in time, a quarter less while even these are late. A slow
 * worker makes some answers late; a host without processor time, all of them.
 * Thread safety: owned by the control thread.
 */
class DelayAdmission final : public StartAdmission
{
public:
    explicit DelayAdmission(const AdmissionSettings &terms);

    [[nodiscard]] std::size_t limit() const override { return m_limit; }
    [[nodiscard]] std::size_t room(Instant now) const override;
    void heldBack() override { m_wasFull = true; }
    void ordered(Instant now, CallId call) override;
    void answered(Instant now, CallId call, WorkerVerdict verdict) override;

private:
    void adapt(Instant now);

    AdmissionSettings m_terms;
    std::size_t m_limit;
    /** When each start under way was ordered; numbers of calls grow with time. */
    std::map<CallId, Instant> m_underWay;
    Instant m_intervalEnd;
    /** Of the answers in this interval. */
    Milliseconds m_leastDelay;
    std::size_t m_answers = 0;
    bool m_wasFull = false;
    bool m_hadUnsent = false;
};

} // namespace gentiancross
