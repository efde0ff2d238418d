#include "tests/control/jobs/leased_worker.h"

#include <algorithm>
#include <utility>

namespace gentiancross::tests {

namespace {

using std::chrono::milliseconds;

constexpr std::int64_t MaxLeaseMs = 10'000;
constexpr std::size_t MaxCompletionsListed = 500;

} // namespace

LeasedWorker::LeasedWorker(WorkerReport report, VirtualTime &time, RunWitness &witness,
                           RunScript script)
    : m_report(std::move(report))
    , m_time(time)
    , m_witness(witness)
    , m_script(std::move(script))
{}

std::int64_t LeasedWorker::clock() const
{
    return std::chrono::duration_cast<milliseconds>(m_time.now()).count();
}

WorkerHeartbeat LeasedWorker::makeHeartbeat()
{
    return {m_report, clock(), ++m_heartbeats};
}

WorkerAnswer LeasedWorker::answerTo(CallId call) const
{
    WorkerAnswer answer;
    answer.call = call;
    answer.verdict = WorkerVerdict::Done;
    answer.clock = clock();
    return answer;
}

void LeasedWorker::receive(const CallWorker &call, Reply reply)
{
    WorkerAnswer answer = answerTo(call.call);
    if (fencingTokenOf(call) < m_fence) {
        answer.verdict = WorkerVerdict::Fenced;
        reply(answer);
        return;
    }
    m_fence = fencingTokenOf(call);
    if (const auto *renewal = std::get_if<OrderLeaseRenewal>(&call.order)) {
        renewLease(call, *renewal, std::move(reply));
        return;
    }
    if (const auto *order = std::get_if<OrderStart>(&call.order))
        answer.verdict = start(*order, call.leaseUntil);
    else
        stop(std::get<OrderStop>(call.order));
    reply(answer);
}

WorkerVerdict LeasedWorker::start(const OrderStart &order, std::int64_t leaseUntil)
{
    const auto running = m_running.find(order.task);
    const auto highestEnded = m_highestEndedRuns.find(order.task);
    const bool isRunning = running != m_running.end();
    if (isRunning
        || (highestEnded != m_highestEndedRuns.end() && order.run <= highestEnded->second)) {
        extendLease(leaseUntil);
        const bool isSame = isRunning && running->second == order.run;
        return isSame ? WorkerVerdict::Done : WorkerVerdict::Superseded;
    }
    if (leaseUntil <= clock())
        return WorkerVerdict::Late;
    m_running.emplace(order.task, order.run);
    m_witness.recordStart(order.task, order.run, m_report.incarnation);
    extendLease(leaseUntil);
    const RunCourse course = m_script(order.task);
    m_time.after(course.duration,
                 [this, task = order.task, run = order.run, ending = course.ending] {
                     const auto found = m_running.find(task);
                     if (found != m_running.end() && found->second == run)
                         end(task, ending);
                 });
    return WorkerVerdict::Done;
}

void LeasedWorker::stop(const OrderStop &order)
{
    const auto running = m_running.find(order.task);
    RunNumber &highestEnded = m_highestEndedRuns[order.task];
    highestEnded = std::max(highestEnded, order.run);
    if (running != m_running.end() && running->second <= order.run)
        end(order.task, RunEnding::Stopped);
}

void LeasedWorker::renewLease(const CallWorker &call, const OrderLeaseRenewal &order, Reply reply)
{
    extendLease(call.leaseUntil);
    m_witness.recordAcknowledgement(m_report.incarnation, order.durableUpTo);
    std::erase_if(m_completions,
                  [&](const ReportedCompletion &end) { return end.number <= order.durableUpTo; });
    if (m_pendingRenewal.has_value())
        answerLeaseRenewal();
    m_pendingRenewal = PendingRenewal{call.call, std::move(reply)};
    if (order.wait == Milliseconds(0) || !m_completions.empty()) {
        answerLeaseRenewal();
        return;
    }
    m_time.after(milliseconds(order.wait.value()), [this, id = call.call] {
        if (m_pendingRenewal.has_value() && m_pendingRenewal->call == id)
            answerLeaseRenewal();
    });
}

void LeasedWorker::answerLeaseRenewal()
{
    const PendingRenewal renewal = std::move(*m_pendingRenewal);
    m_pendingRenewal.reset();
    WorkerAnswer answer = answerTo(renewal.call);
    // Only lists of runs state the incarnation.
    answer.born = m_report.incarnation.born;
    for (const auto &[task, run] : m_running)
        answer.running.push_back({task, run, {}, 100, 0});
    const std::size_t count = std::min(m_completions.size(), MaxCompletionsListed);
    answer.ended.assign(m_completions.begin(), m_completions.begin() + std::ptrdiff_t(count));
    renewal.reply(answer);
}

void LeasedWorker::extendLease(std::int64_t until)
{
    until = std::min(until, clock() + MaxLeaseMs);
    if (until <= m_leaseUntil)
        return;
    m_leaseUntil = until;
    m_time.after(milliseconds(until - clock()), [this] { checkLease(); });
}

void LeasedWorker::checkLease()
{
    if (clock() < m_leaseUntil || m_running.empty())
        return;
    m_witness.recordLeaseLapse(m_report.incarnation);
    const std::map<JobTaskRef, RunNumber> killed = m_running;
    for (const auto &[task, run] : killed)
        end(task, RunEnding::Lapsed);
}

void LeasedWorker::end(const JobTaskRef &task, RunEnding ending)
{
    const RunNumber run = m_running.at(task);
    m_running.erase(task);
    RunNumber &highestEnded = m_highestEndedRuns[task];
    highestEnded = std::max(highestEnded, run);
    m_lastCompletion = m_lastCompletion.next();
    m_completions.push_back({m_lastCompletion, task, run, ending, {}});
    m_witness.recordEnd(task, run, m_report.incarnation, m_lastCompletion, ending);
    if (m_pendingRenewal.has_value())
        answerLeaseRenewal();
}

} // namespace gentiancross::tests
