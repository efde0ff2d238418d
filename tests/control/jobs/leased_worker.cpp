#include "tests/control/jobs/leased_worker.h"

#include <algorithm>
#include <utility>

namespace gentiancross::tests {

namespace {

using std::chrono::milliseconds;

constexpr std::int64_t LongestLease = 10'000;
constexpr std::size_t MostEndsListed = 500;

} // namespace

LeasedWorker::LeasedWorker(WorkerReport report, VirtualTime &time, RunWitness &witness,
                           RunLength length)
    : m_report(std::move(report))
    , m_time(time)
    , m_witness(witness)
    , m_length(std::move(length))
{}

std::int64_t LeasedWorker::clock() const
{
    return std::chrono::duration_cast<milliseconds>(m_time.now()).count();
}

WorkerHeartbeat LeasedWorker::beat()
{
    return {m_report, clock(), ++m_beats};
}

WorkerAnswer LeasedWorker::answerTo(CallId call) const
{
    WorkerAnswer answer;
    answer.call = call;
    answer.verdict = WorkerVerdict::Done;
    answer.clock = clock();
    answer.born = m_report.incarnation.born;
    return answer;
}

void LeasedWorker::receive(const CallWorker &call, Reply reply)
{
    WorkerAnswer answer = answerTo(call.call);
    if (call.fence < m_fence) {
        answer.verdict = WorkerVerdict::Fenced;
        reply(answer);
        return;
    }
    m_fence = call.fence;
    if (const auto *asked = std::get_if<OrderLeaseRenewal>(&call.order)) {
        hold(call, *asked, std::move(reply));
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
    const auto over = m_over.find(order.task);
    const bool isThere = running != m_running.end();
    if (isThere || (over != m_over.end() && order.run <= over->second)) {
        extendLease(leaseUntil);
        const bool isSame = isThere && running->second == order.run;
        return isSame ? WorkerVerdict::Done : WorkerVerdict::Superseded;
    }
    if (leaseUntil <= clock())
        return WorkerVerdict::Late;
    m_running.emplace(order.task, order.run);
    m_witness.begun(order.task, order.run, m_report.incarnation);
    extendLease(leaseUntil);
    m_time.after(m_length(order.task), [this, task = order.task, run = order.run] {
        const auto found = m_running.find(task);
        if (found != m_running.end() && found->second == run)
            end(task, RunEnding::Done);
    });
    return WorkerVerdict::Done;
}

void LeasedWorker::stop(const OrderStop &order)
{
    const auto running = m_running.find(order.task);
    RunNumber &over = m_over[order.task];
    over = std::max(over, order.run);
    if (running != m_running.end() && running->second <= order.run)
        end(order.task, RunEnding::Stopped);
}

void LeasedWorker::hold(const CallWorker &call, const OrderLeaseRenewal &order, Reply reply)
{
    extendLease(call.leaseUntil);
    m_witness.noted(m_report.incarnation, order.durableUpTo);
    std::erase_if(m_ends,
                  [&](const ReportedCompletion &end) { return end.number <= order.durableUpTo; });
    if (m_hold.has_value())
        answerHold();
    m_hold = Waiting{call.call, std::move(reply)};
    if (order.wait == Milliseconds(0) || !m_ends.empty()) {
        answerHold();
        return;
    }
    m_time.after(milliseconds(order.wait.value()), [this, id = call.call] {
        if (m_hold.has_value() && m_hold->call == id)
            answerHold();
    });
}

void LeasedWorker::answerHold()
{
    const Waiting waiting = std::move(*m_hold);
    m_hold.reset();
    WorkerAnswer answer = answerTo(waiting.call);
    for (const auto &[task, run] : m_running)
        answer.running.push_back({task, run, {}, 100, 0});
    const std::size_t count = std::min(m_ends.size(), MostEndsListed);
    answer.ended.assign(m_ends.begin(), m_ends.begin() + std::ptrdiff_t(count));
    waiting.reply(answer);
}

void LeasedWorker::extendLease(std::int64_t until)
{
    until = std::min(until, clock() + LongestLease);
    if (until <= m_leaseUntil)
        return;
    m_leaseUntil = until;
    m_time.after(milliseconds(until - clock()), [this] { checkLease(); });
}

void LeasedWorker::checkLease()
{
    if (clock() < m_leaseUntil || m_running.empty())
        return;
    m_witness.lapsed(m_report.incarnation);
    const std::map<JobTaskRef, RunNumber> killed = m_running;
    for (const auto &[task, run] : killed)
        end(task, RunEnding::Lapsed);
}

void LeasedWorker::end(const JobTaskRef &task, RunEnding ending)
{
    const RunNumber run = m_running.at(task);
    m_running.erase(task);
    RunNumber &over = m_over[task];
    over = std::max(over, run);
    m_lastEnd = m_lastEnd.next();
    m_ends.push_back({m_lastEnd, task, run, ending, {}});
    m_witness.ended(task, run, m_report.incarnation, m_lastEnd, ending);
    if (m_hold.has_value())
        answerHold();
}

} // namespace gentiancross::tests
