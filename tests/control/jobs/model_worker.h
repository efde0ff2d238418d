#pragma once

#include "core/job_calls.h"
#include "tests/control/jobs/run_oracle.h"
#include "tests/soak/soak_random.h"

#include <map>
#include <optional>
#include <vector>

namespace gentiancross::tests {

/** One incarnation of a worker that follows the platform's protocol, in virtual time. */
class ModelWorker
{
public:
    /** \a clockPermille is the speed of the worker's clock in thousandths of real time. */
    ModelWorker(Instant now, WorkerReport report, std::int64_t clockPermille, RunOracle &oracle,
                SoakRandom &random);

    /** Ends the runs that complete, or whose lease lapses, up to \a now. */
    void advance(Instant now);
    /** Suspends the worker until \a until. */
    void freeze(Instant now, Instant until);
    [[nodiscard]] bool isFrozen(Instant now) const { return now < m_frozenUntil; }
    [[nodiscard]] Instant frozenUntil() const { return m_frozenUntil; }
    /** Executes an order. Precondition: the worker was advanced to \a now. */
    WorkerAnswer execute(Instant now, const CallWorker &call);
    /** True if the worker has completions that are not yet acknowledged. */
    [[nodiscard]] bool hasPendingCompletions() const { return !m_completions.empty(); }
    [[nodiscard]] std::size_t pendingCompletions() const { return m_completions.size(); }
    [[nodiscard]] bool isIdle() const { return m_running.empty(); }
    WorkerHeartbeat makeHeartbeat(Instant now);
    void drain() { m_report.isDraining = true; }
    void recordDeath() { m_oracle.recordDeath(m_report.incarnation); }

    [[nodiscard]] const WorkerReport &report() const { return m_report; }

private:
    struct Running
    {
        RunNumber run;
        Instant endsAt;
        RunEnding ending;
    };

    struct PendingCompletion
    {
        ReportedCompletion listed;
        std::size_t oracleEnd;
        std::uint64_t lapses;
    };

    [[nodiscard]] std::int64_t clock(Instant now) const;
    [[nodiscard]] Instant leaseEnd() const;
    void extendLease(Instant now, std::int64_t until);
    void end(JobTaskRef task, RunEnding ending);
    void lapseLease();
    WorkerVerdict start(Instant now, const CallWorker &call, const OrderStart &order);
    void stop(Instant now, const OrderStop &order);
    void listRuns(const OrderLeaseRenewal &order, WorkerAnswer &answer);

    WorkerReport m_report;
    Instant m_bornAt;
    std::int64_t m_clockPermille;
    RunOracle &m_oracle;
    SoakRandom &m_random;
    Instant m_frozenUntil;
    FencingToken m_fence;
    std::int64_t m_leaseUntil = 0;
    /** The end of the lease that lapsed last. */
    std::int64_t m_lapsedLease = 0;
    std::uint64_t m_lapses = 0;
    std::uint64_t m_sequence = 0;
    CompletionNumber m_lastCompletion;
    std::map<JobTaskRef, Running> m_running;
    std::map<JobTaskRef, RunNumber> m_highestEndedRuns;
    std::vector<PendingCompletion> m_completions;
};

} // namespace gentiancross::tests
