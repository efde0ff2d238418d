#pragma once

#include "control/jobs/advice_coordinator.h"
#include "control/jobs/call_handler.h"
#include "control/jobs/job_store.h"
#include "control/jobs/run_tracker.h"
#include "control/jobs/start_admission.h"
#include "control/jobs/start_planner.h"
#include "control/jobs/worker_pool.h"
#include "control/outbox.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace gentiancross {

struct OriginAnswer
{
    CallOrigin origin;
    CallAnswer answer;
};

/** What waits until records are durable: answers, orders, and which ends may be forgotten. */
struct DecisionBatch
{
    std::vector<JobRecord> records;
    std::vector<OriginAnswer> answers;
    std::vector<JobTaskRef> starts;
    std::map<WorkerIncarnation, CompletionNumber> acknowledgedEnds;
    /** When the first of the starts was decided, and when the first of the ends was taken in. */
    std::optional<Instant> firstStartAt;
    std::optional<Instant> firstEndAt;

    [[nodiscard]] bool isEmpty() const
    {
        return records.empty() && answers.empty() && starts.empty() && acknowledgedEnds.empty();
    }
};

/** Without a setting, jobs are known for two minutes after their end, the platform's `status_s`,
 * and some more for late resends. */
constexpr std::int64_t DefaultJobRetentionMilliseconds = 150'000;

/** What a leader is made with. */
struct LeaderOptions
{
    HostId self;
    Fence fence;
    /** Where workers reach this host. */
    std::string heartbeatAddress;
    /** How long a job is known after its end. */
    Milliseconds jobRetention{DefaultJobRetentionMilliseconds};
};

/**
 * Decides for a cell while its host leads the cell's log: takes calls, follows the workers, starts
 * tasks. Works on a copy of the job book that runs ahead of what is agreed on; whatever leaves the
 * host because of a record waits until the record is (`takeDecisions`, `carryOut`).
 * Thread safety: owned by the control thread.
 */
class CellLeader final : private JobStoreObserver,
                         private StartHandler,
                         private CallDecisionHandler,
                         private RunResultHandler
{
public:
    CellLeader(Instant now, LeaderOptions options, JobStoreData book);

    /** Takes a call in; its answer comes with the decisions. */
    void receive(Instant now, Milliseconds wall, const CallOrigin &origin, const CellCall &call,
                 Outbox &out);
    void receive(Instant now, const WorkerAnswer &answer, Outbox &out);
    void receive(Instant now, const AdviceResponse &told, Outbox &out)
    {
        m_advice.receive(now, told, out);
        m_planner.markChanged();
    }
    void recordAdviserContact(Instant now, const HostId &host)
    {
        m_advice.recordHostSeen(now, host);
    }
    /** Takes heartbeats in that a keeper has acknowledged; returns the lives that are not known. */
    UnknownIncarnationsReport receive(Instant now, const HeartbeatsReport &seen);
    /** Renews leases, repeats orders, finds what is lost and what is due. */
    void tick(Instant now, Milliseconds wall, Outbox &out);
    /** Orders what can start now. */
    void startReady(Instant now, Outbox &out);
    /** What was decided since the last call. */
    DecisionBatch takeDecisions() { return std::exchange(m_decisions, {}); }
    [[nodiscard]] bool hasDecisions() const { return !m_decisions.isEmpty(); }
    /** The decisions' records are durable. Answers are the caller's to send. */
    void carryOut(Instant now, const DecisionBatch &decisions, Outbox &out);

    [[nodiscard]] const JobStoreData &book() const { return m_book; }

private:
    void onRunOpened(const JobTaskRef &task, const Job &job, const TaskProgress &progress) override;
    void onRunClosed(const JobTaskRef &task, const Job &job, const TaskProgress &progress) override;
    void onJobChanged(const JobId &id, const Job &job) override;
    void startDecided(const JobTaskRef &task, RunNumber run, const WorkerIncarnation &worker,
                      const std::string &ticket) override;

    void apply(JobRecord record) override;
    void answer(const CallOrigin &origin, CallAnswer answer) override;
    void acknowledgeEnds(const WorkerIncarnation &life, CompletionNumber number) override;

    void take(Instant now, Milliseconds wall, const CallOrigin &origin, const JobCall &call,
              Outbox &out);
    void take(Instant now, Milliseconds wall, const CallOrigin &origin,
              const PutConfiguration &call, Outbox &out);
    void take(Instant now, Milliseconds wall, const CallOrigin &origin,
              const GetConfiguration &call, Outbox &out);
    void take(Instant now, Milliseconds wall, const CallOrigin &origin, const WorkerHeartbeat &call,
              Outbox &out);
    void take(Instant now, Milliseconds wall, const CallOrigin &origin, const WorkerLeave &call,
              Outbox &out);

    /** True if the life has said that it ends. */
    [[nodiscard]] bool hasLeft(const WorkerIncarnation &life) const;
    /** An occurrence waits while those under way hold as many tasks as a job may have. */
    [[nodiscard]] static bool canBeginOccurrence(const Job &job);
    void beginDueOccurrences(Milliseconds wall);
    void forgetExpiredJobs();
    void logAdmissionLimit(Outbox &out);
    /** When an earlier leader accepted the job, as far as this host's clock can tell. */
    [[nodiscard]] Instant estimateArrival(const Job &job, Milliseconds newest) const;

    LeaderOptions m_options;
    /** The time of the call that is being carried out. */
    Instant m_now;
    JobStoreData m_book;
    WorkerPool m_pool;
    AdviceCoordinator m_advice;
    CallHandler m_desk;
    std::unique_ptr<StartAdmission> m_admission;
    /** The limit of starts under way that was logged last. */
    std::size_t m_loggedLimit = 0;
    RunTracker m_runs;
    StartPlanner m_planner;
    DecisionBatch m_decisions;
    /** Jobs with occurrences still to begin. */
    std::set<JobId> m_timed;
    /** Jobs that are over, in the order in which they may be forgotten, and since when. */
    std::deque<std::pair<Instant, JobId>> m_ended;
    std::set<JobId> m_endedIds;
};

} // namespace gentiancross
