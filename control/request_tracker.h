#pragma once

#include "control/deferred_replies.h"
#include "control/request_retention.h"
#include "control/retry_budget.h"
#include "control/task_tracker.h"
#include "control/timeline.h"
#include "control/waiting_work.h"

#include <absl/status/status.h>

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace gentiancross {

/** Counts since this authority began. */
struct RequestCounts
{
    std::uint64_t accepted = 0;
    std::uint64_t refused = 0;
    std::uint64_t ended = 0;
};

/**
 * The requests of a data centre from acceptance to their one outcome.
 *
 * A request is accepted once per name; a resend gets what is known of the first one. Outcomes are
 * facts: "not run" only if no task was ever taken by a worker, "unknown" where work that must run
 * at most once may have run without its answer coming back. Thread safety: owned by the control
 * thread.
 */
class RequestTracker final : public TaskObserver
{
public:
    RequestTracker(const DataCentreCopy &copy, Scheduler &scheduler, RecordWriter &records,
                   Timeline &timeline);

    /** Gives the keeper its tasks; call once, before anything else. */
    void setTasks(TaskTracker *tasks) { m_tasks = tasks; }

    /** Notes the time of the event that begins. */
    void beginEvent(Instant now, Milliseconds wall)
    {
        m_now = now;
        m_wall = wall;
    }

    /** Takes up the requests in the copy; an earlier authority accepted them. */
    void adoptAll(Instant now);

    /**
     * Accepts a request or joins a resend to the first one. Errors: ResourceExhausted if the team's
     * queue is full, FailedPrecondition if the work could never fit, AlreadyExists if the name was
     * used for other work, Unavailable unless \a isDurable (what is recorded outlives a process).
     */
    absl::Status submit(Instant now, ExchangeId exchange, const TeamId &team,
                        const RequestId &request, const WorkSpec &spec, bool isDurable,
                        Outbox &out);
    /** Answers at once with what is known. Error: NotFound, also if the request is another team's.
     */
    absl::Status status(ExchangeId exchange, const TeamId &team, const RequestId &request);
    /** Ends the request as soon as nothing of it runs. Same error as status. */
    absl::Status cancel(ExchangeId exchange, const TeamId &team, const RequestId &request,
                        Outbox &out);

    /** Starts what was decided. */
    void startDecided(const Decision &decision, Outbox &out);
    void tick(Instant now, Outbox &out);
    /** Sends the answers whose records are promised. */
    void sendPromised(RecordSequence promised, Outbox &out) { m_held.sendUpTo(promised, out); }
    /** The caller has gone; its request goes on. */
    void exchangeClosed(ExchangeId exchange, Outbox &out);

    void taskEnded(Instant now, const TaskRef &task, const TaskEnd &end, Outbox &out) override;
    void taskAnswerLost(Instant now, const TaskRef &task, Outbox &out) override;

    /** Precondition: the item is queued. */
    [[nodiscard]] const WorkSpec &specOf(const QueueItem &item) const;
    /** True if the request's tasks may be stopped and started again: batch work that may run twice.
     */
    [[nodiscard]] bool mayBeInterrupted(const RequestId &request) const;
    /** What waits to be started. */
    [[nodiscard]] const WaitingWork &waiting() const { return m_waiting; }
    [[nodiscard]] const RequestCounts &counts() const { return m_counts; }
    /** Exchanges that wait for an answer. */
    [[nodiscard]] std::vector<ExchangeId> waitingExchanges() const;

private:
    struct ActiveRequest
    {
        std::set<ExchangeId> waiting;
        Instant deadline;
        WaitingWork::Places queued;
        std::set<std::uint32_t> done;
        bool cancelled = false;
        /** An earlier authority accepted it. */
        bool isAdopted = false;
        /** A gang that failed to start whole is stopped and queued again. */
        bool isRestartingGang = false;
        bool everRan = false;
        bool isOverdue = false;
        int failures = 0;
    };

    ActiveRequest *findActive(const RequestId &request);
    const RequestFacts *findOwned(const TeamId &team, const RequestId &request) const;
    absl::Status checkRoom(Instant now, const TeamId &team, const WorkSpec &spec) const;
    void enqueueTask(const RequestId &request, ActiveRequest &active, std::uint32_t task);
    void enqueueAll(const RequestId &request, ActiveRequest &active);
    void dequeueAll(const RequestId &request, ActiveRequest &active);
    void endRequest(const RequestId &request, Outcome outcome, const std::string &reason,
                    const Body &body, Outbox &out);
    void finishIfIdle(const RequestId &request, Outbox &out);
    void handleShortEnd(Instant now, const RequestId &request, ActiveRequest &active,
                        const TaskEnd &end, Outbox &out);
    void handleJobTaskEnd(const TaskRef &task, ActiveRequest &active, const TaskEnd &end,
                          Outbox &out);
    void retryOrEnd(const TaskRef &task, ActiveRequest &active, const TaskEnd &end, Outbox &out);
    void handleGangTaskEnd(const TaskRef &task, ActiveRequest &active, const TaskEnd &end,
                           Outbox &out);
    void adopt(Instant now, const RequestId &request, const RequestFacts &facts);
    void endAdopted(Outbox &out);
    void endExpired(Instant now, Outbox &out);
    void forgetOld(Instant now, Outbox &out);
    void wait(ExchangeId exchange, const RequestId &request, ActiveRequest &active);
    /** Answers with what is known now, once that is promised. */
    void answerWhenPromised(ExchangeId exchange, const RequestId &request);
    [[nodiscard]] RequestAnswer answerOf(const RequestId &request, const RequestFacts &facts,
                                         const Body &body) const;

    const DataCentreCopy &m_copy;
    Scheduler &m_scheduler;
    RecordWriter &m_records;
    Timeline &m_timeline;
    TaskTracker *m_tasks = nullptr;
    std::map<RequestId, ActiveRequest> m_active;
    std::set<std::pair<Instant, RequestId>> m_deadlines;
    WaitingWork m_waiting;
    DeferredReplies m_held;
    RequestRetention m_retention;
    RetryBudget m_retries;
    RequestCounts m_counts;
    /** Adopted requests whose outcome is known, but not recorded yet. */
    std::map<RequestId, Outcome> m_adoptedOutcomes;
    std::unordered_map<ExchangeId, RequestId> m_exchanges;
    /** Until then workers may exist that have not been heard of. */
    Instant m_warmUntil;
    Instant m_now;
    Milliseconds m_wall;
};

} // namespace gentiancross
