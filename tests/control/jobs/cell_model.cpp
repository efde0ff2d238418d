#include "tests/control/jobs/cell_model.h"

#include "tests/control/jobs/model_trace.h"

#include <algorithm>

namespace gentiancross::tests {

namespace {

constexpr std::int64_t StepMs = 10;
constexpr std::int64_t TickMs = 50;
constexpr std::int64_t HeartbeatIntervalMs = 1500;
/** How long a leader keeps acting after its last contact with a quorum. */
constexpr std::int64_t LeadershipValidMs = 500;
constexpr std::int64_t DrainMs = 2000;
/** The leader learns within one lease that a worker has restarted under the same name; until
 * then the worker is neither disconnected nor frozen. */
constexpr std::int64_t FaultFreeAfterRestartMs = 4000;
constexpr std::uint32_t MaxAttempts = 3;
constexpr std::int64_t WorkerMillicores = 1000;
constexpr std::int64_t TeamMillicores = 3500;
/** Jobs must have ended, and long-running tasks must run, this long after the last fault. */
constexpr std::int64_t RecoveryMs = 45'000;
constexpr std::int64_t CancelMs = 10'000;
/** Nothing may start in an evacuated data centre this long after the order was acknowledged. */
constexpr std::int64_t EvacuateMs = 5000;
constexpr std::int64_t OrderTimeoutMs = 1000;
constexpr std::size_t DataCentres = 2;

} // namespace

CellModel::CellModel(std::uint32_t seed, ModelPlan plan)
    : m_random(seed)
    , m_plan(plan)
{
    startLeader({});
    configure();
    m_slots.resize(std::size_t(plan.workers));
    for (std::size_t index = 0; index < m_slots.size(); ++index) {
        m_slots[index].address = "place" + std::to_string(index);
        startWorker(m_slots[index], false);
    }
}

void CellModel::schedule(std::int64_t delayMs, Action action)
{
    m_actions.emplace(m_now + Milliseconds(delayMs), std::move(action));
}

void CellModel::repeat(std::int64_t intervalMs, std::int64_t jitterMs, const Action &action)
{
    schedule(intervalMs + m_random.between(0, jitterMs), [=, this] {
        action();
        repeat(intervalMs, jitterMs, action);
    });
}

bool CellModel::hasFaults() const
{
    const std::int64_t age = (m_now - m_startedAt).value();
    return age >= m_plan.faultFreeMs && age < m_plan.durationMs;
}

void CellModel::addTrace(const std::string &line)
{
    m_trace.push_back(std::to_string((m_now - m_startedAt).value()) + " " + line);
}

void CellModel::advanceUntil(Instant until)
{
    while (m_now < until) {
        m_now = m_now + Milliseconds(StepMs);
        for (WorkerSlot &slot : m_slots) {
            if (slot.worker == nullptr)
                continue;
            slot.worker->advance(m_now);
            m_maxPendingCompletions
                    = std::max(m_maxPendingCompletions, slot.worker->pendingCompletions());
        }
        while (!m_actions.empty() && m_actions.begin()->first <= m_now) {
            const Action action = std::move(m_actions.begin()->second);
            m_actions.erase(m_actions.begin());
            action();
        }
        if (m_now.value() % TickMs == 0)
            tick();
    }
}

CellModel::Host *CellModel::findHost(Fence fence)
{
    const auto found = m_hosts.find(fence);
    return found == m_hosts.end() ? nullptr : &found->second;
}

CellModel::Host *CellModel::currentLeader()
{
    return m_hosts.empty() ? nullptr : &m_hosts.rbegin()->second;
}

void CellModel::startLeader(JobStoreData store)
{
    m_lastFence = m_lastFence.next();
    Host &host = m_hosts[m_lastFence];
    host.fence = m_lastFence;
    constexpr Milliseconds Retention{3'600'000};
    host.leader = std::make_unique<CellLeader>(
            m_now, LeaderOptions{HostId("host"), m_lastFence, "host:1", Retention},
            std::move(store));
    addTrace("leader started: fence=" + std::to_string(m_lastFence.value()));
}

void CellModel::changeLeader()
{
    Host *const host = currentLeader();
    if (host == nullptr || !host->canCommit)
        return;
    // Records that were being committed may have reached a quorum.
    if (host->isCommitting && m_random.chance(0.5)) {
        for (const JobRecord &record : host->pendingRecords)
            jobstore::apply(m_durable, record, nullptr);
    }
    host->canCommit = false;
    host->activeUntil = m_now + Milliseconds(m_random.chance(0.5) ? 0 : LeadershipValidMs);
    addTrace("leader stopped or cut off from the quorum: fence="
             + std::to_string(host->fence.value()));
    schedule(m_random.between(10, 1500), [this] { startLeader(m_durable); });
}

void CellModel::tick()
{
    std::erase_if(m_hosts, [&](const auto &entry) {
        return !entry.second.canCommit && m_now >= entry.second.activeUntil;
    });
    for (auto &[fence, host] : m_hosts) {
        host.leader->tick(m_now, Milliseconds(m_now.value()), host.out);
        processDecisions(host);
    }
}

void CellModel::processDecisions(Host &host)
{
    while (!host.isCommitting) {
        host.leader->startReady(m_now, host.out);
        if (!host.leader->hasDecisions())
            break;
        commit(host);
    }
    for (Effect &effect : host.out.take()) {
        if (const auto *order = std::get_if<CallWorker>(&effect))
            send(host, *order);
        else if (const auto *line = std::get_if<LogLine>(&effect))
            addTrace("log " + std::to_string(host.fence.value()) + " " + line->subject + ": "
                     + line->what);
    }
}

void CellModel::commit(Host &host)
{
    DecisionBatch decisions = host.leader->takeDecisions();
    host.pendingRecords = decisions.records;
    const auto recordDone = [this](const DecisionBatch &durable) {
        for (const OriginAnswer &answered : durable.answers) {
            if (std::holds_alternative<CallDone>(answered.answer))
                m_doneCalls.insert(answered.origin.exchange);
        }
    };
    if (decisions.records.empty()) {
        recordDone(decisions);
        host.leader->carryOut(m_now, decisions, host.out);
        return;
    }
    host.isCommitting = true;
    const std::int64_t delayMs
            = m_random.chance(0.02) ? m_random.between(100, 300) : m_random.between(5, 30);
    schedule(delayMs, [this, recordDone, fence = host.fence, decisions = std::move(decisions)] {
        Host *const host = findHost(fence);
        if (host == nullptr || !host->canCommit)
            return;
        for (const JobRecord &record : host->pendingRecords)
            jobstore::apply(m_durable, record, nullptr);
        host->isCommitting = false;
        recordDone(decisions);
        host->leader->carryOut(m_now, decisions, host->out);
        processDecisions(*host);
        checkJobs(false);
    });
}

void CellModel::send(Host &host, const CallWorker &call)
{
    const auto sent = std::make_shared<InFlightCall>(InFlightCall{host.fence, call});
    const bool isDelayed = hasFaults() && m_random.chance(m_plan.delayedSendRatio);
    schedule(isDelayed ? m_random.between(100, 700) : m_random.between(0, 3), [this, sent] {
        if (findHost(sent->fence) == nullptr)
            return;
        if (m_now > sent->call.validUntil) {
            sent->isAnswered = true;
            WorkerAnswer answer;
            answer.call = sent->call.call;
            answer.verdict = WorkerVerdict::NotSent;
            deliverAnswer(sent, std::move(answer), 1);
            return;
        }
        addTrace("sent " + describe(sent->call));
        checkEvacuation(sent->call);
        schedule(sent->call.timeout.value(), [this, sent] {
            if (std::exchange(sent->isAnswered, true))
                return;
            WorkerAnswer answer;
            answer.call = sent->call.call;
            deliverAnswer(sent, std::move(answer), 0);
        });
        std::int64_t transit = m_random.between(1, 5);
        if (hasFaults()) {
            if (m_random.chance(m_plan.lostCallRatio))
                return;
            sent->isAnswerLost = m_random.chance(m_plan.lostAnswerRatio);
            if (m_random.chance(m_plan.lateCallRatio)) {
                sent->isAnswerLost = true;
                sent->processingDelayMs = m_random.between(m_plan.minLateMs, m_plan.maxLateMs);
            } else if (m_random.chance(m_plan.lateCallRatio)) {
                transit = m_random.between(20, 400);
            }
        }
        schedule(transit, [this, sent] { deliverCall(sent); });
    });
}

void CellModel::deliverCall(const InFlightCallPtr &sent)
{
    const auto slot
            = std::find_if(m_slots.begin(), m_slots.end(), [&](const WorkerSlot &candidate) {
                  return candidate.address == sent->call.address;
              });
    const bool isReachable
            = slot != m_slots.end() && slot->worker != nullptr && m_now >= slot->disconnectedUntil;
    if (!isReachable)
        return;
    // Calls that have reached a process are lost when it ends.
    const std::weak_ptr<ModelWorker> incarnation = slot->worker;
    if (sent->processingDelayMs > 0)
        schedule(sent->processingDelayMs,
                 [this, sent, incarnation] { executeCall(sent, incarnation); });
    else
        executeCall(sent, incarnation);
}

void CellModel::executeCall(const InFlightCallPtr &sent,
                            const std::weak_ptr<ModelWorker> &incarnation)
{
    const std::shared_ptr<ModelWorker> worker = incarnation.lock();
    if (worker == nullptr)
        return;
    if (worker->isFrozen(m_now)) {
        schedule((worker->frozenUntil() - m_now).value() + m_random.between(0, 5),
                 [this, sent, incarnation] { executeCall(sent, incarnation); });
        return;
    }
    if (worker->report().incarnation.worker != sent->call.incarnation.worker) {
        WorkerAnswer answer;
        answer.call = sent->call.call;
        answer.verdict = WorkerVerdict::OtherIncarnation;
        sendAnswer(sent, std::move(answer));
        return;
    }
    worker->advance(m_now);
    const auto *renewal = std::get_if<OrderLeaseRenewal>(&sent->call.order);
    WorkerAnswer answer = worker->execute(m_now, sent->call);
    if (renewal != nullptr && !worker->hasPendingCompletions() && renewal->wait > Milliseconds(0))
        awaitCompletions(sent, incarnation, m_now + renewal->wait);
    else
        sendAnswer(sent, std::move(answer));
}

void CellModel::awaitCompletions(const InFlightCallPtr &sent,
                                 const std::weak_ptr<ModelWorker> &worker, Instant until)
{
    schedule(StepMs, [=, this] {
        const std::shared_ptr<ModelWorker> alive = worker.lock();
        if (alive == nullptr || sent->isAnswered)
            return;
        if (alive->isFrozen(m_now) || (!alive->hasPendingCompletions() && m_now < until)) {
            awaitCompletions(sent, worker, until);
            return;
        }
        CallWorker listing = sent->call;
        listing.leaseUntil = 0;
        sendAnswer(sent, alive->execute(m_now, listing));
    });
}

void CellModel::sendAnswer(const InFlightCallPtr &sent, WorkerAnswer answer)
{
    addTrace("executed " + describe(sent->call) + ": " + describe(answer));
    if (sent->isAnswerLost || sent->isAnswered)
        return;
    const bool isSlow = hasFaults() && m_random.chance(m_plan.lateCallRatio);
    schedule(isSlow ? m_random.between(20, 600) : m_random.between(1, 5),
             [this, sent, answer = std::move(answer)] {
                 if (!std::exchange(sent->isAnswered, true))
                     deliverAnswer(sent, answer, 0);
             });
}

void CellModel::deliverAnswer(const InFlightCallPtr &sent, WorkerAnswer answer,
                              std::int64_t delayMs)
{
    schedule(delayMs, [this, sent, answer = std::move(answer)] {
        Host *const host = findHost(sent->fence);
        if (host == nullptr)
            return;
        addTrace("received " + describe(answer));
        host->leader->receive(m_now, answer, host->out);
        processDecisions(*host);
    });
}

void CellModel::startWorker(WorkerSlot &slot, bool isSameName)
{
    if (!isSameName || slot.name.empty()) {
        slot.name = slot.address + "-" + std::to_string(++slot.nameCount);
    } else {
        // Orders cannot tell these incarnations apart, and leases of the previous one do not apply
        // to the next.
        slot.disconnectedUntil = m_now;
        slot.faultFreeUntil = m_now + Milliseconds(FaultFreeAfterRestartMs);
    }
    WorkerReport report;
    report.incarnation = {WorkerId(slot.name), Milliseconds(m_now.value())};
    report.pool = PoolId("pool");
    report.address = slot.address;
    report.dataCentre = DataCentreId("dc" + std::to_string((&slot - m_slots.data()) % DataCentres));
    report.capacity.cores = MilliCores(WorkerMillicores);
    report.capacity.memory = Mebibytes(100'000);
    slot.worker = std::make_shared<ModelWorker>(m_now, report, m_random.between(980, 1000),
                                                m_oracle, m_random);
    addTrace("worker started: " + slot.name);
    sendHeartbeat(slot);
}

void CellModel::sendHeartbeat(WorkerSlot &slot)
{
    const std::weak_ptr<ModelWorker> incarnation = slot.worker;
    schedule(m_random.between(1, 10), [=, this, &slot] {
        const std::shared_ptr<ModelWorker> worker = incarnation.lock();
        if (worker == nullptr)
            return;
        if (!worker->isFrozen(m_now) && m_now >= slot.disconnectedUntil) {
            const WorkerHeartbeat heartbeat = worker->makeHeartbeat(m_now);
            const bool isLate = hasFaults() && m_random.chance(m_plan.lateCallRatio);
            schedule(isLate ? m_random.between(500, 6000) : 2,
                     [this, heartbeat] { call(heartbeat); });
        }
        schedule(HeartbeatIntervalMs, [=, this, &slot] {
            if (!incarnation.expired() && incarnation.lock() == slot.worker)
                sendHeartbeat(slot);
        });
    });
}

void CellModel::crash(WorkerSlot &slot)
{
    if (slot.worker == nullptr)
        return;
    addTrace("worker crashed: " + slot.name);
    slot.worker->recordDeath();
    slot.worker.reset();
    const bool isSameName = m_random.chance(m_plan.sameNameRatio);
    schedule(m_random.between(10, 4000), [=, this, &slot] { startWorker(slot, isSameName); });
}

void CellModel::drain(WorkerSlot &slot)
{
    if (slot.worker == nullptr || slot.worker->report().isDraining)
        return;
    slot.worker->drain();
    sendHeartbeat(slot);
    const std::weak_ptr<ModelWorker> incarnation = slot.worker;
    schedule(DrainMs + HeartbeatIntervalMs, [=, this, &slot] {
        const std::shared_ptr<ModelWorker> worker = incarnation.lock();
        if (worker == nullptr || worker != slot.worker)
            return;
        const WorkerLeave leave{worker->report().incarnation.worker};
        const bool isLate = m_plan.lateLeaveRatio > 0 && m_random.chance(m_plan.lateLeaveRatio);
        if (isLate)
            schedule(m_random.between(500, 8000), [this, leave] { call(leave); });
        else
            call(leave);
        worker->recordDeath();
        slot.worker.reset();
        schedule(m_random.between(10, 4000), [=, this, &slot] { startWorker(slot, isLate); });
    });
}

void CellModel::sendForeignHeartbeat()
{
    const WorkerSlot &slot = randomSlot();
    if (slot.worker == nullptr)
        return;
    constexpr std::int64_t MaxBirthDifferenceMs = 5000;
    WorkerHeartbeat heartbeat{slot.worker->report(), m_random.between(0, 100'000),
                              std::uint64_t(m_random.between(1, 30))};
    WorkerReport &report = heartbeat.report;
    const bool hasName = m_random.chance(0.7);
    if (!hasName)
        report.incarnation.worker = WorkerId("agent");
    if (hasName && m_random.chance(0.5))
        report.address = "elsewhere";
    report.incarnation.born
            += Milliseconds(m_random.between(-MaxBirthDifferenceMs, MaxBirthDifferenceMs));
    if (m_random.chance(0.5))
        report.pool = PoolId("metrics-agent");
    addTrace("foreign heartbeat: name=" + report.incarnation.worker.value() + " address="
             + report.address + " born=" + std::to_string(report.incarnation.born.value()));
    call(heartbeat);
}

void CellModel::changeEvacuation()
{
    if (m_isOrderingEvacuation)
        return;
    m_isOrderingEvacuation = true;
    if (m_evacuated.has_value()) {
        const DataCentreId dataCentre = std::exchange(m_evacuated, std::nullopt)->first;
        orderEvacuation(EndEvacuation{dataCentre, {}}, dataCentre);
        return;
    }
    const DataCentreId dataCentre(
            "dc" + std::to_string(m_random.between(0, std::int64_t(DataCentres) - 1)));
    orderEvacuation(BeginEvacuation{dataCentre, {}}, dataCentre);
}

void CellModel::orderEvacuation(const CellCall &order, const DataCentreId &dataCentre)
{
    const bool isBegin = std::holds_alternative<BeginEvacuation>(order);
    addTrace((isBegin ? "evacuation begins: " : "evacuation ends: ") + dataCentre.value());
    const ExchangeId exchange = call(order);
    schedule(OrderTimeoutMs, [=, this] {
        if (!m_doneCalls.contains(exchange)) {
            orderEvacuation(order, dataCentre);
            return;
        }
        m_isOrderingEvacuation = false;
        if (isBegin)
            m_evacuated = std::pair(dataCentre, m_now);
    });
}

void CellModel::checkEvacuation(const CallWorker &call)
{
    const auto *const start = std::get_if<OrderStart>(&call.order);
    if (start == nullptr || !m_evacuated.has_value()
        || (m_now - m_evacuated->second).value() <= EvacuateMs)
        return;
    for (std::size_t index = 0; index < m_slots.size(); ++index) {
        const DataCentreId dataCentre("dc" + std::to_string(index % DataCentres));
        if (m_slots[index].address == call.address && dataCentre == m_evacuated->first)
            m_oracle.addViolation(start->task, "a start was sent to an evacuated data centre");
    }
}

CellModel::WorkerSlot &CellModel::randomSlot()
{
    return m_slots[std::size_t(m_random.between(0, std::int64_t(m_slots.size()) - 1))];
}

ExchangeId CellModel::call(const CellCall &call)
{
    const ExchangeId exchange(++m_lastExchange);
    Host *const host = currentLeader();
    if (host == nullptr)
        return exchange;
    host->leader->receive(m_now, Milliseconds(m_now.value()), {HostId("host"), exchange}, call,
                          host->out);
    processDecisions(*host);
    return exchange;
}

void CellModel::configure()
{
    ConfigDocument document;
    document.version = DocumentVersion(1);
    QueueConfig queue;
    queue.queue = QueueId("checks");
    queue.host = "h";
    queue.pathPrefix = "/q/";
    queue.timeout = Milliseconds(3000);
    queue.pool = PoolId("pool");
    queue.maxAttempts = MaxAttempts;
    document.queues = {queue};
    document.pools = {{PoolId("pool"), false}};
    Resources cap;
    cap.cores = MilliCores(TeamMillicores);
    document.teams = {{TeamId("alpha"), {ApiKey("key-of-alpha")}, 1, cap}};
    call(PutConfiguration{document, {}});
}

void CellModel::submit(bool isLongRunning)
{
    std::string id = std::to_string(m_specs.size());
    id = std::string(16 - id.size(), '0') + id;
    const bool alwaysFails = m_random.chance(0.03);
    JobSpec spec;
    const std::int64_t time = isLongRunning ? 0 : m_plan.taskDurationMs;
    spec.payload = std::to_string(time) + (alwaysFails && !isLongRunning ? " 1.0" : " 0.02");
    const std::int64_t steps = isLongRunning ? 1 : m_random.between(1, m_plan.maxSteps);
    for (std::uint32_t number = 0; number < steps; ++number) {
        StepSpec step;
        step.count = std::uint32_t(m_random.between(1, isLongRunning ? 2 : 6));
        step.perTask.cores
                = MilliCores(isLongRunning ? 100 : m_random.between(50, m_plan.maxTaskMillicores));
        step.perTask.memory = Mebibytes(10);
        step.estimate = Milliseconds(m_plan.taskDurationMs);
        step.isLongRunning = isLongRunning;
        if (number > 0)
            step.after = {number - 1};
        spec.steps.push_back(step);
    }
    m_specs.emplace(JobId(id), spec);
    m_oracle.recordSubmission(JobId(id), spec, MaxAttempts);
    call(JobCall{JobVerb::Submit, "h", "/q/" + id, ApiKey("key-of-alpha"), spec, {}});
}

void CellModel::checkJobs(bool isFinal)
{
    for (const auto &[id, spec] : m_specs) {
        const auto job = m_durable.jobs.find(id);
        if (job == m_durable.jobs.end())
            continue;
        if (isFinal && !spec.steps[0].isLongRunning && !job->second.isOver())
            m_oracle.addViolation({{id, 0, 0}, 0}, "a job has not ended");
        if (isFinal && spec.steps[0].isLongRunning) {
            for (std::uint32_t index = 0; index < spec.steps[0].count; ++index) {
                if (m_oracle.activeRuns({{id, 0, 0}, index}) != 1)
                    m_oracle.addViolation({{id, 0, 0}, index},
                                          "a long-running task does not have exactly one run");
            }
        }
        if (isFinal
            && (job->second.state == JobState::Completed || job->second.state == JobState::Failed))
            m_oracle.checkReportedState(id, job->second.state);
    }
}

std::size_t CellModel::completedJobs() const
{
    return std::size_t(std::count_if(m_durable.jobs.begin(), m_durable.jobs.end(),
                                     [](const auto &entry) { return entry.second.isOver(); }));
}

void CellModel::run()
{
    advanceUntil(m_now + Milliseconds(1000));
    for (std::int64_t job = 0; job < m_plan.longRunningJobs; ++job)
        submit(true);
    const auto repeatWhileFaulty = [this](std::int64_t intervalMs, const Action &action) {
        if (intervalMs > 0)
            repeat(intervalMs / 2, intervalMs, [=, this] {
                if (hasFaults())
                    action();
            });
    };
    repeatWhileFaulty(m_plan.disconnectIntervalMs, [this] {
        WorkerSlot &slot = randomSlot();
        if (m_now < slot.faultFreeUntil)
            return;
        slot.disconnectedUntil = m_now + Milliseconds(m_random.between(200, 8000));
        addTrace("worker disconnected: " + slot.address);
    });
    repeatWhileFaulty(m_plan.crashIntervalMs, [this] { crash(randomSlot()); });
    repeatWhileFaulty(m_plan.freezeIntervalMs, [this] {
        WorkerSlot &slot = randomSlot();
        const bool isAwake = slot.worker != nullptr && !slot.worker->isFrozen(m_now);
        if (isAwake && m_now >= slot.faultFreeUntil)
            slot.worker->freeze(m_now, m_now + Milliseconds(m_random.between(200, 5000)));
    });
    repeatWhileFaulty(m_plan.leaderChangeIntervalMs, [this] { changeLeader(); });
    repeatWhileFaulty(m_plan.drainIntervalMs, [this] { drain(randomSlot()); });
    repeatWhileFaulty(m_plan.foreignHeartbeatIntervalMs, [this] { sendForeignHeartbeat(); });
    repeatWhileFaulty(m_plan.evacuationIntervalMs, [this] { changeEvacuation(); });
    const Instant end = m_startedAt + Milliseconds(m_plan.durationMs);
    repeat(m_plan.jobIntervalMs / 2, m_plan.jobIntervalMs, [this, end] {
        const bool isBusy
                = (m_now - m_startedAt).value() >= m_plan.faultFreeMs || m_random.chance(0.02);
        if (m_now < end && isBusy)
            submit(false);
    });
    advanceUntil(end);
    // The end of the last evacuation belongs to the recovery.
    if (m_evacuated.has_value() || m_isOrderingEvacuation)
        schedule(OrderTimeoutMs * 5, [this] {
            if (m_evacuated.has_value())
                changeEvacuation();
        });
    advanceUntil(end + Milliseconds(RecoveryMs));
    checkJobs(true);
    for (const auto &[id, spec] : m_specs) {
        if (spec.steps[0].isLongRunning)
            call(JobCall{JobVerb::Cancel, "h", "/q/" + id.value(), ApiKey("key-of-alpha"), {}, {}});
    }
    advanceUntil(m_now + Milliseconds(CancelMs));
    for (const auto &[id, job] : m_durable.jobs) {
        if (jobstore::hasOpenRun(job))
            m_oracle.addViolation({{id, 0, 0}, 0}, "a run of an ended job was never closed");
    }
    m_actions.clear();
}

} // namespace gentiancross::tests
