#include "tests/control/jobs/model_worker.h"

#include <algorithm>
#include <limits>

namespace gentiancross::tests {

namespace {

constexpr std::int64_t MaxLeaseMs = 10'000;
constexpr std::int64_t MaxStopMs = 200;
constexpr std::size_t MaxCompletionsListed = 500;
constexpr std::int64_t Permille = 1000;
constexpr std::int64_t Forever = std::numeric_limits<std::int64_t>::max() / 4;

} // namespace

ModelWorker::ModelWorker(Instant now, WorkerReport report, std::int64_t clockPermille,
                         RunOracle &oracle, SoakRandom &random)
    : m_report(std::move(report))
    , m_bornAt(now)
    , m_clockPermille(clockPermille)
    , m_oracle(oracle)
    , m_random(random)
{}

std::int64_t ModelWorker::clock(Instant now) const
{
    return (now - m_bornAt).value() * m_clockPermille / Permille;
}

Instant ModelWorker::leaseEnd() const
{
    return m_bornAt + Milliseconds((m_leaseUntil * Permille + m_clockPermille) / m_clockPermille);
}

void ModelWorker::extendLease(Instant now, std::int64_t until)
{
    m_leaseUntil = std::max(m_leaseUntil, std::min(until, clock(now) + MaxLeaseMs));
}

void ModelWorker::end(JobTaskRef task, RunEnding ending)
{
    const RunNumber run = m_running.at(task).run;
    m_running.erase(task);
    m_highestEndedRuns[task] = std::max(m_highestEndedRuns[task], run);
    m_lastCompletion = m_lastCompletion.next();
    m_completions.push_back({{m_lastCompletion, task, run, ending, {}},
                             m_oracle.recordEnd(m_report.incarnation, task, run, ending),
                             m_lapses});
}

void ModelWorker::lapseLease()
{
    // Earlier completions belong to a previous lease.
    m_lapsedLease = m_leaseUntil;
    ++m_lapses;
    while (!m_running.empty())
        end(m_running.begin()->first, RunEnding::Lapsed);
}

void ModelWorker::advance(Instant now)
{
    // Leases expire while the worker is frozen or idle too.
    const bool isLeaseOver = leaseEnd() <= now && m_lapsedLease < m_leaseUntil;
    if (isFrozen(now)) {
        if (isLeaseOver)
            lapseLease();
        return;
    }
    while (!m_running.empty()) {
        const auto next = std::min_element(m_running.begin(), m_running.end(),
                                           [](const auto &first, const auto &second) {
                                               return first.second.endsAt < second.second.endsAt;
                                           });
        if (std::min(next->second.endsAt, leaseEnd()) > now)
            return;
        if (leaseEnd() <= next->second.endsAt)
            lapseLease();
        else
            end(next->first, next->second.ending);
    }
    if (isLeaseOver && m_lapsedLease < m_leaseUntil)
        lapseLease();
}

void ModelWorker::freeze(Instant now, Instant until)
{
    advance(now);
    m_frozenUntil = until;
    for (auto &[task, run] : m_running)
        run.endsAt = run.endsAt + (until - now);
}

WorkerAnswer ModelWorker::execute(Instant now, const CallWorker &call)
{
    WorkerAnswer answer;
    answer.call = call.call;
    answer.clock = clock(now);
    answer.verdict = WorkerVerdict::Done;
    // Only lists of runs state the incarnation.
    if (kindOf(call.order) == OrderKind::LeaseRenewal)
        answer.born = m_report.incarnation.born;
    if (fencingTokenOf(call) < m_fence) {
        answer.verdict = WorkerVerdict::Fenced;
        return answer;
    }
    m_fence = fencingTokenOf(call);
    if (const auto *order = std::get_if<OrderStart>(&call.order)) {
        answer.verdict = start(now, call, *order);
    } else if (const auto *order = std::get_if<OrderStop>(&call.order)) {
        stop(now, *order);
    } else {
        extendLease(now, call.leaseUntil);
        listRuns(std::get<OrderLeaseRenewal>(call.order), answer);
    }
    return answer;
}

WorkerVerdict ModelWorker::start(Instant now, const CallWorker &call, const OrderStart &order)
{
    if (call.leaseUntil <= clock(now))
        return WorkerVerdict::Late;
    extendLease(now, call.leaseUntil);
    const auto running = m_running.find(order.task);
    if (running != m_running.end() && running->second.run == order.run)
        return WorkerVerdict::Done;
    const auto highest = m_highestEndedRuns.find(order.task);
    const bool isOld = (running != m_running.end() && order.run < running->second.run)
            || (highest != m_highestEndedRuns.end() && order.run <= highest->second);
    if (isOld)
        return WorkerVerdict::Superseded;
    m_oracle.recordStart(m_report.incarnation, m_report.capacity, order.task, order.run);
    // The payload holds the duration of the task, 0 if it is long-running, and the share of its
    // runs that fail.
    const std::string &payload = *order.payload;
    const std::int64_t durationMs = std::stoll(payload);
    const double failureRatio = std::stod(payload.substr(payload.find(' ')));
    Running run{order.run, now + Milliseconds(Forever), RunEnding::Done};
    if (m_random.chance(failureRatio))
        run.ending = RunEnding::Failed;
    if (durationMs > 0)
        run.endsAt = now + Milliseconds(m_random.between(durationMs / 2 + 1, durationMs * 3 / 2));
    m_running.insert_or_assign(order.task, run);
    return WorkerVerdict::Done;
}

void ModelWorker::stop(Instant now, const OrderStop &order)
{
    RunNumber &highest = m_highestEndedRuns[order.task];
    highest = std::max(highest, order.run);
    const auto running = m_running.find(order.task);
    if (running == m_running.end() || running->second.run > order.run)
        return;
    const Instant stopsAt = now + Milliseconds(m_random.between(1, MaxStopMs));
    if (running->second.endsAt <= stopsAt)
        return;
    running->second.endsAt = stopsAt;
    running->second.ending = RunEnding::Stopped;
}

void ModelWorker::listRuns(const OrderLeaseRenewal &order, WorkerAnswer &answer)
{
    while (!m_completions.empty() && m_completions.front().listed.number <= order.durableUpTo) {
        if (m_completions.front().lapses == m_lapses)
            m_oracle.recordAcknowledgement(m_completions.front().oracleEnd);
        m_completions.erase(m_completions.begin());
    }
    for (const auto &[task, run] : m_running)
        answer.running.push_back({task, run.run, {}, 100, 0});
    for (const PendingCompletion &ended : m_completions) {
        if (answer.ended.size() < MaxCompletionsListed)
            answer.ended.push_back(ended.listed);
    }
}

WorkerHeartbeat ModelWorker::makeHeartbeat(Instant now)
{
    return {m_report, clock(now), ++m_sequence};
}

} // namespace gentiancross::tests
