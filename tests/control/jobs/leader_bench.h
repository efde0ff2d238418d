#pragma once

#include "control/jobs/cell_leader.h"
#include "tests/control/jobs/job_fixture.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gentiancross::tests {

/** A configuration with one queue, "checks" at host "h" under "/q/", for team "alpha" with \a cap.
 */
ConfigDocument makeDocument(const Resources &cap = {}, std::optional<AdviceTerms> advice = {});

/** Owns a leader whose records are durable at once; the test supplies its workers' answers. */
class LeaderBench
{
public:
    /** \a storedWork is what its jobs may take in memory. */
    explicit LeaderBench(JobStoreData store = {},
                         Bytes storedWork = deriveMemoryPlan(DefaultKeeperMemory).storedWork);

    /** Applies `makeDocument` of the same arguments. */
    void configure(const Resources &cap = {}, std::optional<AdviceTerms> advice = {});
    void configure(const ConfigDocument &document);
    CallAnswer call(const CellCall &call);
    /** Calls as this origin; the other calls are of exchange 1 and up. */
    CallAnswer call(const CellCall &call, const CallOrigin &origin);
    /** Delivers heartbeats that another host has acknowledged. */
    void receive(const HeartbeatsReport &seen);
    CallAnswer submit(const std::string &id, std::vector<StepSpec> steps,
                      const std::string &key = "key-of-alpha");
    CallAnswer queryJob(const std::string &id, JobVerb verb = JobVerb::Status);
    /** Sends a heartbeat of a worker with 1,000 thousandths of a core. */
    void sendHeartbeat(const std::string &worker, std::int64_t born = 1, bool isDraining = false);
    /** Sends a heartbeat of a worker whose clock shows \a clock. */
    void sendHeartbeatAt(const std::string &worker, std::int64_t clock);
    /** Creates the worker's next heartbeat without sending it. */
    WorkerHeartbeat makeHeartbeat(const std::string &worker, std::int64_t born = 1);
    /** Answers as the incarnation born at \a born; 0 if the answer does not name one. */
    void answer(const CallWorker &order, WorkerVerdict verdict, std::int64_t born = 0);
    void answer(const WorkerAnswer &answer);
    /** Answers the oldest untaken lease renewal of the worker with its lists of runs, which it made
     * when its clock showed \a clock, now if empty. */
    void answerLeaseRenewal(const std::string &worker, std::vector<ReportedRun> running,
                            std::vector<ReportedCompletion> ended = {},
                            std::optional<std::int64_t> clock = {});
    /** Answers this lease renewal with the lists of runs, which state the birth of the incarnation
     * that was asked. */
    void answerWithRuns(const CallWorker &renewal, std::vector<ReportedRun> running,
                        std::vector<ReportedCompletion> ended,
                        std::optional<std::int64_t> clock = {});
    /** Answers the untaken lease renewal of this incarnation, which must exist, as that
     * incarnation. */
    void confirm(const std::string &worker, std::int64_t born,
                 std::vector<ReportedRun> running = {});
    void advance(std::int64_t milliseconds);
    /** Lets the lease of \a silent lapse unanswered, and takes the next starts on \a other. */
    std::vector<CallWorker> startElsewhere(const std::string &silent, const std::string &other);
    /** Records become durable only after `resumeLog`. */
    void pauseLog() { m_isLogPaused = true; }
    void resumeLog();
    /** Makes the oldest records durable that wait for the log. Precondition: there are some. */
    void commitOldest();
    [[nodiscard]] Instant now() const { return m_now; }

    /** Take the orders of a kind that were sent since the last such call. */
    std::vector<CallWorker> takeStarts();
    std::vector<CallWorker> takeStops();
    std::optional<CallWorker> takeLeaseRenewal(const std::string &worker);
    std::vector<AdviceRequest> takeAdviceRequests() { return std::exchange(m_adviceRequests, {}); }
    void receiveAdvice(const AdviceResponse &response);
    /** Answers all untaken advice requests with a ticket for each worker. */
    void grantTickets();

    /** Takes the measurements since the last call. */
    Measurements takeMeasurements() { return m_out.takeMeasurements(); }

    CellLeader &leader() { return m_leader; }

private:
    void processDecisions();
    void carryOut(const DecisionBatch &decisions);

    Instant m_now{10'000};
    Milliseconds m_wall{1'000'000};
    Outbox m_out{false};
    bool m_isLogPaused = false;
    std::vector<DecisionBatch> m_pendingDecisions;
    CellLeader m_leader;
    std::uint64_t m_lastExchange = 0;
    std::uint64_t m_lastHeartbeatSequence = 0;
    std::map<ExchangeId, CallAnswer> m_answers;
    std::vector<CallWorker> m_orders;
    std::vector<AdviceRequest> m_adviceRequests;
};

} // namespace gentiancross::tests
