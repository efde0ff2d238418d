#include "control/jobs/cell_leader.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace gentiancross {

namespace {

/** A worker tells of ends at once; this only bounds how old a lease and a list may get. */
constexpr Milliseconds HoldWait{900};
/** What an order's answer may take: some round trips of a loaded link. */
constexpr Milliseconds OrderTimeout{700};
/** An order that waits longer on its way to the network is decided anew. */
constexpr Milliseconds OrderValidity{400};
constexpr Milliseconds RetryPause{150};
constexpr Milliseconds StopPause{400};
/** A worker that fails runs of so many jobs in a row gets no more for a while; one run in fifty
 * fails on sound workers. */
constexpr std::uint32_t FailuresInRow = 3;
/** So many orders in a row without an answer, and the worker gets no new ones. */
constexpr std::uint32_t SilentOrders = 2;
constexpr Milliseconds FailingPause{4000};
constexpr Milliseconds RefusedPause{600};
std::string nameOf(const JobTaskRef &task)
{
    return absl::StrCat(task.step.job.value(), ".", task.step.occurrence, ".", task.step.step, ".",
                        task.index);
}

const char *nameOf(RunEnding ending)
{
    switch (ending) {
    case RunEnding::Done:
        return "done";
    case RunEnding::Failed:
        return "failed";
    case RunEnding::Stopped:
        return "stopped";
    case RunEnding::Lapsed:
        return "lease lapsed";
    case RunEnding::Broken:
        return "gang broken";
    case RunEnding::Alone:
        return "gang incomplete";
    case RunEnding::NotStarted:
        return "not started";
    case RunEnding::Lost:
        return "lost";
    }
    return "";
}

} // namespace

CellLeader::CellLeader(Instant now, LeaderOptions options, JobBookData book)
    : m_options(std::move(options))
    , m_book(std::move(book))
    , m_pool(now)
    , m_advice(m_options.self)
    , m_desk(m_book, *this)
    , m_planner(m_book, m_pool, m_advice, std::make_unique<PackingChoice>())
{
    for (const auto &[life, report] : m_book.workers)
        m_pool.put(now, report).nextHold = now;
    for (const auto &[id, job] : m_book.jobs) {
        for (const auto &[number, occurrence] : job.occurrences) {
            for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                const std::vector<TaskProgress> &tasks = occurrence.steps[step];
                for (std::uint32_t index = 0; index < tasks.size(); ++index) {
                    if (!tasks[index].isOpen)
                        continue;
                    const JobTaskRef task{{id, number, step}, index};
                    runOpened(task, job, tasks[index]);
                    PooledWorker *const worker = m_pool.find(tasks[index].worker);
                    if (worker == nullptr)
                        continue;
                    // An earlier leader sent it; with this one's fence it can't arrive any more.
                    worker->runs.at(task).wasSent = true;
                    worker->runs.at(task).isSettled = true;
                }
            }
        }
        jobChanged(id, job);
    }
}

void CellLeader::apply(JobRecord record)
{
    jobbook::apply(m_book, record, this);
    m_decisions.records.push_back(std::move(record));
}

void CellLeader::answer(const CallOrigin &origin, CallAnswer answer)
{
    m_decisions.answers.push_back({origin, std::move(answer)});
}

void CellLeader::runOpened(const JobTaskRef &task, const Job &job, const TaskProgress &progress)
{
    const StepSpec &step = job.spec.steps[task.step.step];
    m_planner.runOpened(task, job, progress.worker);
    m_desk.jobChanged(task.step.job, job);
    PooledWorker *const worker = m_pool.find(progress.worker);
    if (worker == nullptr)
        return;
    OpenRun run;
    run.run = progress.lastRun;
    run.reserved = step.reserved();
    run.full = step.each;
    run.hasTailTarget = step.isLasting && step.tailTarget > Milliseconds(0);
    run.isBestEffort = step.isBestEffort;
    WorkerPool::open(*worker, task, std::move(run));
}

void CellLeader::runClosed(const JobTaskRef &task, const Job &job, const TaskProgress &progress)
{
    m_planner.runClosed(task, job, progress.worker);
    if (PooledWorker *const worker = m_pool.find(progress.worker))
        WorkerPool::close(*worker, task);
}

void CellLeader::jobChanged(const JobId &id, const Job &job)
{
    m_desk.jobChanged(id, job);
    if (job.occurrencesBegun < job.spec.repeats && !job.isOver())
        m_timed.insert(id);
    else
        m_timed.erase(id);
    m_planner.jobChanged(id, job);
}

void CellLeader::startDecided(const JobTaskRef &task, RunNumber run, const WorkerLife &worker,
                              const std::string &ticket)
{
    apply(RunOrdered{task, run, worker});
    if (PooledWorker *const pooled = m_pool.find(worker))
        pooled->runs.at(task).ticket = ticket;
    m_decisions.starts.push_back(task);
}

void CellLeader::receive(Instant now, Milliseconds wall, const CallOrigin &origin,
                         const CellCall &call, Outbox &out)
{
    std::visit([&](const auto &typed) { take(now, wall, origin, typed, out); }, call);
}

void CellLeader::take(Instant, Milliseconds wall, const CallOrigin &origin, const JobCall &call,
                      Outbox &out)
{
    m_desk.take(wall, origin, call, out);
}

void CellLeader::take(Instant, Milliseconds, const CallOrigin &origin, const PutDocument &call,
                      Outbox &out)
{
    m_desk.take(origin, call, out);
}

void CellLeader::take(Instant, Milliseconds, const CallOrigin &origin, const GetDocument &call,
                      Outbox &)
{
    m_desk.take(origin, call);
}

void CellLeader::take(Instant now, Milliseconds, const CallOrigin &origin, const WorkerBeat &call,
                      Outbox &out)
{
    const WorkerLife &life = call.report.life;
    const BeatTaken taken{m_options.beatAddress};
    std::vector<WorkerLife> replaced;
    for (const auto &[other, worker] : m_pool.all()) {
        const bool isSamePlace
                = other.worker == life.worker || worker.report.address == call.report.address;
        if (!isSamePlace || other == life)
            continue;
        if (other.born > life.born) {
            answer(origin, taken); // A late beat of a life that is over.
            return;
        }
        replaced.push_back(other);
    }
    for (const WorkerLife &other : replaced)
        endLife(other, "another life is at its address", out);
    PooledWorker *worker = m_pool.find(life);
    const bool isNew = worker == nullptr;
    if (!isNew && call.sequence <= worker->lastSequence && worker->lastSequence != 0) {
        answer(origin, taken);
        return;
    }
    WorkerReport report = call.report;
    report.isDraining = report.isDraining || (!isNew && worker->report.isDraining);
    const bool changed = isNew || worker->report.isDraining != report.isDraining
            || !(worker->report.capacity == report.capacity)
            || worker->report.labels != report.labels;
    if (changed) {
        out.note(life.worker.value(),
                 absl::StrCat(isNew ? "worker is there" : "worker has changed",
                              ": address=", report.address, " draining=", report.isDraining));
        apply(WorkerSeen{report});
    }
    worker = &m_pool.put(now, report);
    worker->lastBeat = now;
    worker->lastSequence = call.sequence;
    if (!worker->clock.has_value())
        WorkerPool::tellClock(*worker, now, call.clock);
    answer(origin, taken);
}

void CellLeader::take(Instant, Milliseconds, const CallOrigin &origin, const WorkerLeave &call,
                      Outbox &out)
{
    std::vector<WorkerLife> ended;
    for (const auto &[life, worker] : m_pool.all()) {
        // A worker leaves after it has drained; without that the call is of an earlier life.
        if (life.worker == call.worker && worker.report.isDraining)
            ended.push_back(life);
    }
    for (const WorkerLife &life : ended)
        endLife(life, "it left", out);
    answer(origin, CallDone{});
}

void CellLeader::endRun(const WorkerLife &life, const JobTaskRef &task, RunEnding ending,
                        Outbox &out)
{
    PooledWorker *const worker = m_pool.find(life);
    if (worker == nullptr || !worker->runs.contains(task))
        return;
    const OpenRun &run = worker->runs.at(task);
    out.note(task.step.job.value(),
             absl::StrCat("run ended: task=", nameOf(task), " run=", run.run.value(),
                          " worker=", life.worker.value(), " how=", nameOf(ending)));
    apply(RunEnded{task, run.run, ending, run.checkpoint});
}

void CellLeader::endLife(const WorkerLife &life, const char *reason, Outbox &out)
{
    PooledWorker *const worker = m_pool.find(life);
    if (worker == nullptr)
        return;
    out.note(life.worker.value(), absl::StrCat("worker is gone: ", reason));
    std::vector<JobTaskRef> tasks;
    for (const auto &[task, run] : worker->runs)
        tasks.push_back(task);
    for (const JobTaskRef &task : tasks)
        endRun(life, task, RunEnding::Lost, out);
    apply(WorkerGone{life});
    m_pool.remove(life);
}

void CellLeader::receive(Instant now, const WorkerAnswer &answer, Outbox &out)
{
    const auto found = m_calls.find(answer.call);
    if (found == m_calls.end())
        return;
    const Call call = std::move(found->second);
    m_calls.erase(found);
    PooledWorker *const worker = m_pool.find(call.life);
    if (worker == nullptr)
        return;
    if (call.kind == OrderKind::Hold)
        worker->isHoldInFlight = false;
    const bool isOtherBirth = answer.born.has_value() && *answer.born != call.life.born;
    if (answer.verdict == WorkerVerdict::OtherLife || isOtherBirth) {
        endLife(call.life, "another life answers at its address", out);
        return;
    }
    if (answer.verdict == WorkerVerdict::NoAnswer) {
        out.add(LogLine{true, call.life.worker.value(), "no answer: " + answer.error});
        // One order may get lost on the way; a list that does not come says more.
        if (call.kind == OrderKind::Hold || ++worker->silentOrders >= SilentOrders)
            worker->isFailing = true;
    } else {
        worker->silentOrders = 0;
        if (worker->isFailing)
            out.note(call.life.worker.value(), "answers again");
        worker->isFailing = false;
        if (answer.clock.has_value())
            WorkerPool::tellClock(*worker, now, *answer.clock);
    }
    if (call.kind == OrderKind::Start)
        startAnswered(now, call, answer, out);
    else if (call.kind == OrderKind::Stop)
        stopAnswered(now, call, answer);
    else
        holdAnswered(now, call, answer, out);
}

void CellLeader::startAnswered(Instant now, const Call &call, const WorkerAnswer &answer,
                               Outbox &out)
{
    PooledWorker &worker = *m_pool.find(call.life);
    const auto found = worker.runs.find(call.task);
    if (found == worker.runs.end() || found->second.run != call.run)
        return;
    OpenRun &run = found->second;
    run.isCallInFlight = false;
    run.nextAttempt = now + RetryPause;
    switch (answer.verdict) {
    case WorkerVerdict::Done:
    case WorkerVerdict::Superseded:
        run.isSettled = true;
        worker.nextHold = std::min(worker.nextHold, now + RetryPause);
        return;
    case WorkerVerdict::NoAnswer:
        run.mayArriveLate = true;
        return;
    case WorkerVerdict::Fenced:
        return;
    default:
        break;
    }
    out.note(call.task.step.job.value(),
             absl::StrCat("start refused: task=", nameOf(call.task),
                          " worker=", call.life.worker.value(), " reason=", answer.error));
    if (answer.verdict == WorkerVerdict::NoTicket)
        m_advice.drop(call.task.step, call.life.worker);
    else if (answer.verdict == WorkerVerdict::Refused)
        worker.avoidUntil = now + RefusedPause;
    if (run.mayArriveLate)
        run.isStopping = true; // A stop makes the worker refuse the copy that may come yet.
    else
        endRun(call.life, call.task, RunEnding::NotStarted, out);
}

void CellLeader::stopAnswered(Instant now, const Call &call, const WorkerAnswer &answer)
{
    PooledWorker &worker = *m_pool.find(call.life);
    const auto found = worker.runs.find(call.task);
    if (found == worker.runs.end() || found->second.run != call.run)
        return;
    OpenRun &run = found->second;
    run.isCallInFlight = false;
    run.nextAttempt = now + (answer.verdict == WorkerVerdict::NoAnswer ? RetryPause : StopPause);
    if (answer.verdict == WorkerVerdict::Done)
        run.isSettled = true;
}

void CellLeader::holdAnswered(Instant now, const Call &call, const WorkerAnswer &answer,
                              Outbox &out)
{
    PooledWorker &worker = *m_pool.find(call.life);
    worker.nextHold = now + (answer.verdict == WorkerVerdict::Done ? Milliseconds(0) : RetryPause);
    if (answer.verdict != WorkerVerdict::Done)
        return;
    takeEnds(now, worker, answer.ended, out);
    takeRunning(now, worker, call, answer, out);
}

void CellLeader::takeEnds(Instant now, PooledWorker &worker, const std::vector<EndListed> &ended,
                          Outbox &out)
{
    const WorkerLife life = worker.report.life;
    for (const EndListed &end : ended) {
        if (end.number <= worker.recorded)
            continue;
        worker.recorded = end.number;
        out.note(end.task.step.job.value(),
                 absl::StrCat("run ended: task=", nameOf(end.task), " run=", end.run.value(),
                              " worker=", life.worker.value(), " how=", nameOf(end.ending)));
        if (end.ending == RunEnding::Done) {
            notePace(now, worker, end);
            worker.failuresInRow = 0;
        } else if (end.ending == RunEnding::Failed) {
            noteFailure(now, worker, end.task.step.job, out);
        }
        apply(RunEnded{end.task, end.run, end.ending, end.checkpoint});
        m_decisions.notedEnds[life] = end.number;
    }
}

void CellLeader::noteFailure(Instant now, PooledWorker &worker, const JobId &job, Outbox &out)
{
    if (worker.lastFailed == job && worker.failuresInRow > 0)
        return;
    worker.lastFailed = job;
    if (++worker.failuresInRow < FailuresInRow)
        return;
    worker.avoidUntil = now + FailingPause;
    out.add(LogLine{true, worker.report.life.worker.value(),
                    absl::StrCat("avoided for a while: runs of jobs that failed in a row=",
                                 worker.failuresInRow)});
}

void CellLeader::notePace(Instant now, PooledWorker &worker, const EndListed &end)
{
    const auto run = worker.runs.find(end.task);
    if (run == worker.runs.end() || run->second.run != end.run
        || !run->second.startedAt.has_value())
        return;
    const StepSpec &step = m_book.jobs.at(end.task.step.job).spec.steps[end.task.step.step];
    // Best-effort runs take as long as others let them.
    if (step.estimate <= Milliseconds(0) || step.isBestEffort || step.isLasting)
        return;
    const Milliseconds taken = now - *run->second.startedAt;
    worker.pace.note(taken, step.estimate);
    m_pool.usualPace().note(taken, step.estimate);
}

void CellLeader::takeRunning(Instant now, PooledWorker &worker, const Call &call,
                             const WorkerAnswer &answer, Outbox &out)
{
    std::set<JobTaskRef> present;
    for (const RunListed &listed : answer.running) {
        const auto found = worker.runs.find(listed.task);
        if (found == worker.runs.end() || found->second.run != listed.run) {
            const bool isKnown = found != worker.runs.end() && found->second.run > listed.run;
            if (found == worker.runs.end() || isKnown)
                orderStop(now, worker, listed.task, listed.run, out);
            continue;
        }
        present.insert(listed.task);
        found->second.isSettled = true;
        found->second.mayArriveLate = false;
        found->second.checkpoint = listed.checkpoint;
    }
    std::vector<JobTaskRef> lost;
    for (const auto &[task, run] : worker.runs) {
        if (!present.contains(task) && call.settled.contains(task) && run.isSettled)
            lost.push_back(task);
    }
    for (const JobTaskRef &task : lost)
        endRun(worker.report.life, task, RunEnding::Lost, out);
}

void CellLeader::tick(Instant now, Milliseconds wall, Outbox &out)
{
    m_advice.tick(now, out);
    endLapsed(now, out);
    beginDue(wall);
    for (auto &[life, worker] : m_pool.all())
        follow(now, worker, out);
}

void CellLeader::endLapsed(Instant now, Outbox &out)
{
    constexpr Milliseconds ForgottenAfter{15'000};
    std::vector<WorkerLife> gone;
    for (auto &[life, worker] : m_pool.all()) {
        const bool isSilent = now - worker.lastBeat > ForgottenAfter;
        if ((!worker.isFailing && !isSilent) || !m_pool.isLapsed(worker, now))
            continue;
        std::vector<JobTaskRef> tasks;
        for (const auto &[task, run] : worker.runs)
            tasks.push_back(task);
        for (const JobTaskRef &task : tasks)
            endRun(life, task, RunEnding::Lapsed, out);
        if (isSilent)
            gone.push_back(life);
    }
    for (const WorkerLife &life : gone)
        endLife(life, "no beat and no answer", out);
}

void CellLeader::beginDue(Milliseconds wall)
{
    const std::set<JobId> timed = m_timed;
    for (const JobId &id : timed) {
        const Job &job = m_book.jobs.at(id);
        const Milliseconds due
                = job.spec.firstDue + job.spec.period * std::int64_t(job.occurrencesBegun);
        if (wall >= due)
            apply(OccurrenceBegun{id});
    }
}

bool CellLeader::isWanted(const JobTaskRef &task) const
{
    const auto job = m_book.jobs.find(task.step.job);
    if (job == m_book.jobs.end() || job->second.isOver())
        return false;
    const TaskProgress *const progress = jobbook::find(m_book, task);
    return progress != nullptr && !progress->isDone;
}

void CellLeader::follow(Instant now, PooledWorker &worker, Outbox &out)
{
    for (auto &[task, run] : worker.runs) {
        if (!run.wasSent || run.isCallInFlight || now < run.nextAttempt)
            continue;
        if (run.isStopping || !isWanted(task)) {
            run.isCallInFlight = true;
            orderStop(now, worker, task, run.run, out);
        } else if (!run.isSettled) {
            orderStart(now, worker, task, run, out);
        }
    }
    const bool hasNews = worker.noted < worker.recorded;
    if (worker.isHoldInFlight || now < worker.nextHold || hasNews)
        return;
    if (!worker.runs.empty() || !worker.clock.has_value())
        hold(now, worker, out);
}

void CellLeader::hold(Instant now, PooledWorker &worker, Outbox &out)
{
    const bool waits = !worker.isFailing && worker.clock.has_value();
    Call call{OrderKind::Hold, worker.report.life, {}, {}, now, {}};
    for (const auto &[task, run] : worker.runs) {
        if (run.isSettled && run.wasSent)
            call.settled.insert(task);
    }
    CallWorker effect;
    effect.call = CallId(++m_lastCall);
    effect.address = worker.report.address;
    effect.life = worker.report.life;
    effect.fence = m_options.fence;
    // A worker that does not answer is granted nothing more, or its lease would never be over.
    effect.leaseUntil = worker.isFailing ? 0 : WorkerPool::grant(worker, now).value_or(0);
    effect.order = OrderHold{worker.noted, waits ? HoldWait : Milliseconds(0)};
    effect.validUntil = now + OrderValidity;
    effect.timeout = OrderTimeout + (waits ? HoldWait : Milliseconds(0));
    m_calls.emplace(effect.call, std::move(call));
    worker.isHoldInFlight = true;
    out.add(std::move(effect));
}

void CellLeader::orderStart(Instant now, PooledWorker &worker, const JobTaskRef &task, OpenRun &run,
                            Outbox &out)
{
    // A repetition extends no lease: of a worker that does not answer it would never be over.
    const bool isRepetition = run.startedAt.has_value() && worker.grantedUntil > 0;
    run.wasSent = true;
    const std::optional<std::int64_t> until
            = isRepetition ? worker.grantedUntil : WorkerPool::grant(worker, now);
    if (!until.has_value())
        return;
    const Job &job = m_book.jobs.at(task.step.job);
    CallWorker effect;
    effect.call = CallId(++m_lastCall);
    effect.address = worker.report.address;
    effect.life = worker.report.life;
    effect.fence = m_options.fence;
    effect.leaseUntil = *until;
    effect.order = OrderStart{task, run.run, std::make_shared<const std::string>(job.spec.payload),
                              jobbook::find(m_book, task)->checkpoint, run.ticket};
    effect.validUntil = now + OrderValidity;
    effect.timeout = OrderTimeout;
    m_calls.emplace(effect.call,
                    Call{OrderKind::Start, worker.report.life, task, run.run, now, {}});
    out.note(task.step.job.value(),
             absl::StrCat(isRepetition ? "start repeated: task=" : "start ordered: task=",
                          nameOf(task), " run=", run.run.value(),
                          " worker=", worker.report.life.worker.value(), " lease_until=", *until));
    run.isCallInFlight = true;
    if (!run.startedAt.has_value())
        run.startedAt = now;
    out.add(std::move(effect));
}

void CellLeader::orderStop(Instant now, PooledWorker &worker, const JobTaskRef &task, RunNumber run,
                           Outbox &out)
{
    CallWorker effect;
    effect.call = CallId(++m_lastCall);
    effect.address = worker.report.address;
    effect.life = worker.report.life;
    effect.fence = m_options.fence;
    effect.order = OrderStop{task, run};
    effect.validUntil = now + OrderValidity;
    effect.timeout = OrderTimeout;
    m_calls.emplace(effect.call, Call{OrderKind::Stop, worker.report.life, task, run, now, {}});
    out.note(task.step.job.value(),
             absl::StrCat("stop ordered: task=", nameOf(task), " run=", run.value(),
                          " worker=", worker.report.life.worker.value()));
    out.add(std::move(effect));
}

void CellLeader::carryOut(Instant now, const Decisions &decisions, Outbox &out)
{
    for (const auto &[life, number] : decisions.notedEnds) {
        if (PooledWorker *const worker = m_pool.find(life))
            worker->noted = std::max(worker->noted, number);
    }
    std::set<WorkerLife> touched;
    for (const JobTaskRef &task : decisions.starts) {
        const TaskProgress *const progress = jobbook::find(m_book, task);
        if (progress == nullptr || !progress->isOpen)
            continue;
        PooledWorker *const worker = m_pool.find(progress->worker);
        if (worker == nullptr)
            continue;
        const auto run = worker->runs.find(task);
        if (run == worker->runs.end() || run->second.wasSent)
            continue;
        if (!isWanted(task)) {
            // Nothing has left this host, so there is nothing to stop.
            endRun(progress->worker, task, RunEnding::NotStarted, out);
            continue;
        }
        orderStart(now, *worker, task, run->second, out);
        touched.insert(progress->worker);
    }
    for (const auto &[life, number] : decisions.notedEnds)
        touched.insert(life);
    for (const WorkerLife &life : touched) {
        if (PooledWorker *const worker = m_pool.find(life))
            follow(now, *worker, out);
    }
}

} // namespace gentiancross
