#pragma once

#include "core/job_calls.h"

namespace gentiancross {

/** What an AdmissionPolicy says to a job that is submitted. */
enum class AdmissionVerdict {
    Accept,
    /** What is stored leaves no room for it at present. */
    Full,
    /** What its own team has stored leaves no room for it at present. */
    TeamFull,
    /** It does not fit even if nothing else is stored. */
    TooLarge,
};

/** Decides which jobs may be stored. Called on the control thread. */
class AdmissionPolicy
{
public:
    AdmissionPolicy() = default;
    AdmissionPolicy(const AdmissionPolicy &) = delete;
    AdmissionPolicy &operator=(const AdmissionPolicy &) = delete;
    virtual ~AdmissionPolicy() = default;

    /** The verdict on something of \a team that takes \a bytes of the job store. */
    [[nodiscard]] virtual AdmissionVerdict check(const TeamId &team, Bytes bytes) const = 0;
    /** When a job that was refused for lack of room should be sent again. */
    [[nodiscard]] virtual Milliseconds retryAfter() const = 0;
};

} // namespace gentiancross
