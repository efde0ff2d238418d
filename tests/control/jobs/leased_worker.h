#pragma once

#include "core/job_calls.h"
#include "tests/control/jobs/run_witness.h"
#include "tests/control/jobs/virtual_processor.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace gentiancross::tests {

/** Emulates a worker in virtual time, following the platform's protocol for leases, run numbers and
 * lists of completions. */
class LeasedWorker
{
public:
    using Reply = std::function<void(WorkerAnswer)>;
    /** How long a run takes, unless it is killed, and how it ends. */
    struct RunCourse
    {
        VirtualTime::Span duration{0};
        RunEnding ending = RunEnding::Done;
    };
    /** Called at the start of each run. */
    using RunScript = std::function<RunCourse(const JobTaskRef &)>;

    /** \a time and \a witness must outlive this object. */
    LeasedWorker(WorkerReport report, VirtualTime &time, RunWitness &witness, RunScript script);

    /** Handles a call whose bytes have arrived. */
    void receive(const CallWorker &call, Reply reply);
    /** Creates the next heartbeat. */
    WorkerHeartbeat makeHeartbeat();

private:
    struct PendingRenewal
    {
        CallId call;
        Reply reply;
    };

    [[nodiscard]] std::int64_t clock() const;
    [[nodiscard]] WorkerAnswer answerTo(CallId call) const;
    WorkerVerdict start(const OrderStart &order, std::int64_t leaseUntil);
    void stop(const OrderStop &order);
    void renewLease(const CallWorker &call, const OrderLeaseRenewal &order, Reply reply);
    void answerLeaseRenewal();
    void extendLease(std::int64_t until);
    void checkLease();
    void end(const JobTaskRef &task, RunEnding ending);

    WorkerReport m_report;
    VirtualTime &m_time;
    RunWitness &m_witness;
    RunScript m_script;
    FencingToken m_fence;
    std::uint64_t m_heartbeats = 0;
    std::int64_t m_leaseUntil = 0;
    std::map<JobTaskRef, RunNumber> m_running;
    /** The highest run number of each task that has ended or was stopped here. */
    std::map<JobTaskRef, RunNumber> m_highestEndedRuns;
    std::vector<ReportedCompletion> m_completions;
    CompletionNumber m_lastCompletion;
    std::optional<PendingRenewal> m_pendingRenewal;
};

} // namespace gentiancross::tests
