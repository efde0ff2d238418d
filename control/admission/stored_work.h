#pragma once

#include "control/admission/admission_policy.h"

#include <map>
#include <optional>

namespace gentiancross {

/**
 * Sums what the stored jobs take, by team, and bounds it: a team may hold at most three quarters of
 * what the other teams leave, so that no team keeps the others out. Owned by `CellLeader`; a new
 * leader sums up the jobs that it inherits. Thread safety: owned by the control thread.
 */
class StoredWork final : public AdmissionPolicy
{
public:
    explicit StoredWork(Bytes limit);

    /** Sets what the job takes. */
    void set(const JobId &job, const TeamId &team, Bytes bytes);
    void remove(const JobId &job);
    /** When the next job will be forgotten; empty if none is over. */
    void setNextRelease(std::optional<Milliseconds> untilRelease);

    [[nodiscard]] AdmissionVerdict check(const TeamId &team, Bytes bytes) const override;
    [[nodiscard]] Milliseconds retryAfter() const override;

    [[nodiscard]] Bytes total() const { return m_total; }
    [[nodiscard]] Bytes limit() const { return m_limit; }
    [[nodiscard]] std::size_t jobs() const { return m_jobs.size(); }
    [[nodiscard]] Bytes heldBy(const TeamId &team) const;
    /** The teams that have jobs, with what these take. */
    [[nodiscard]] const std::map<TeamId, Bytes> &teams() const { return m_teams; }

private:
    struct StoredJob
    {
        TeamId team;
        Bytes bytes;
    };

    const Bytes m_limit;
    Bytes m_total;
    std::map<TeamId, Bytes> m_teams;
    std::map<JobId, StoredJob> m_jobs;
    std::optional<Milliseconds> m_untilRelease;
};

} // namespace gentiancross
