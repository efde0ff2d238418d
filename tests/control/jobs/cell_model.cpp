#include "tests/control/jobs/cell_model.h"

#include "tests/control/jobs/model_trace.h"

#include <algorithm>

namespace gentiancross::tests {

namespace {

constexpr std::int64_t StepTime = 10;
constexpr std::int64_t TickTime = 50;
constexpr std::int64_t BeatPause = 1500;
/** How long a leader acts after its last contact with a quorum. */
constexpr std::int64_t ConfirmedFor = 500;
constexpr std::int64_t DrainTime = 2000;
/** A worker that has started again under its name is told of as such within a lease. */
constexpr std::int64_t CalmLife = 4000;
constexpr std::uint32_t MostAttempts = 3;
constexpr std::int64_t WorkerCores = 1000;
constexpr std::int64_t TeamCores = 3500;
/** What is to be over, or at work, this long after the last fault. */
constexpr std::int64_t CalmTime = 45'000;
constexpr std::int64_t CancelTime = 10'000;

} // namespace

CellModel::CellModel(std::uint32_t seed, ModelPlan plan)
    : m_random(seed)
    , m_plan(plan)
{
    lead({});
    configure();
    m_places.resize(std::size_t(plan.workers));
    for (std::size_t index = 0; index < m_places.size(); ++index) {
        m_places[index].address = "place" + std::to_string(index);
        bear(m_places[index], false);
    }
}

void CellModel::at(std::int64_t delay, Action action)
{
    m_actions.emplace(m_now + Milliseconds(delay), std::move(action));
}

void CellModel::repeat(std::int64_t pause, std::int64_t spread, const Action &action)
{
    at(pause + m_random.between(0, spread), [=, this] {
        action();
        repeat(pause, spread, action);
    });
}

bool CellModel::hasFaults() const
{
    const std::int64_t age = (m_now - m_begin).value();
    return age >= m_plan.calm && age < m_plan.length;
}

void CellModel::note(const std::string &line)
{
    m_trace.push_back(std::to_string((m_now - m_begin).value()) + " " + line);
}

void CellModel::passUntil(Instant until)
{
    while (m_now < until) {
        m_now = m_now + Milliseconds(StepTime);
        for (Place &place : m_places) {
            if (place.worker == nullptr)
                continue;
            place.worker->advance(m_now);
            m_mostEndsKept = std::max(m_mostEndsKept, place.worker->endCount());
        }
        while (!m_actions.empty() && m_actions.begin()->first <= m_now) {
            const Action action = std::move(m_actions.begin()->second);
            m_actions.erase(m_actions.begin());
            action();
        }
        if (m_now.value() % TickTime == 0)
            tick();
    }
}

CellModel::Host *CellModel::hostOf(Fence fence)
{
    const auto found = m_hosts.find(fence);
    return found == m_hosts.end() ? nullptr : &found->second;
}

CellModel::Host *CellModel::current()
{
    return m_hosts.empty() ? nullptr : &m_hosts.rbegin()->second;
}

void CellModel::lead(JobStoreData book)
{
    m_lastFence = m_lastFence.next();
    Host &host = m_hosts[m_lastFence];
    host.fence = m_lastFence;
    constexpr Milliseconds Retention{3'600'000};
    host.leader = std::make_unique<CellLeader>(
            m_now, LeaderOptions{HostId("host"), m_lastFence, "host:1", Retention},
            std::move(book));
    note("leads: fence=" + std::to_string(m_lastFence.value()));
}

void CellModel::changeLeader()
{
    Host *const host = current();
    if (host == nullptr || !host->commits)
        return;
    // What was under way may have reached a quorum.
    if (host->isCommitting && m_random.chance(0.5)) {
        for (const JobRecord &record : host->underWay)
            jobstore::apply(m_durable, record, nullptr);
    }
    host->commits = false;
    host->actsUntil = m_now + Milliseconds(m_random.chance(0.5) ? 0 : ConfirmedFor);
    note("leader is cut off or gone: fence=" + std::to_string(host->fence.value()));
    at(m_random.between(10, 1500), [this] { lead(m_durable); });
}

void CellModel::tick()
{
    std::erase_if(m_hosts, [&](const auto &entry) {
        return !entry.second.commits && m_now >= entry.second.actsUntil;
    });
    for (auto &[fence, host] : m_hosts) {
        host.leader->tick(m_now, Milliseconds(m_now.value()), host.out);
        pump(host);
    }
}

void CellModel::pump(Host &host)
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
            note("log " + std::to_string(host.fence.value()) + " " + line->subject + ": "
                 + line->what);
    }
}

void CellModel::commit(Host &host)
{
    DecisionBatch decisions = host.leader->takeDecisions();
    host.underWay = decisions.records;
    if (decisions.records.empty()) {
        host.leader->carryOut(m_now, decisions, host.out);
        return;
    }
    host.isCommitting = true;
    const std::int64_t delay
            = m_random.chance(0.02) ? m_random.between(100, 300) : m_random.between(5, 30);
    at(delay, [this, fence = host.fence, decisions = std::move(decisions)] {
        Host *const host = hostOf(fence);
        if (host == nullptr || !host->commits)
            return;
        for (const JobRecord &record : host->underWay)
            jobstore::apply(m_durable, record, nullptr);
        host->isCommitting = false;
        host->leader->carryOut(m_now, decisions, host->out);
        pump(*host);
        checkJobs(false);
    });
}

void CellModel::send(Host &host, const CallWorker &call)
{
    const auto sent = std::make_shared<Sent>(Sent{host.fence, call});
    const bool isHeld = hasFaults() && m_random.chance(m_plan.heldCalls);
    at(isHeld ? m_random.between(100, 700) : m_random.between(0, 3), [this, sent] {
        if (hostOf(sent->fence) == nullptr)
            return;
        if (m_now > sent->call.validUntil) {
            sent->isAnswered = true;
            WorkerAnswer answer;
            answer.call = sent->call.call;
            answer.verdict = WorkerVerdict::NotSent;
            deliver(sent, std::move(answer), 1);
            return;
        }
        note("sent " + describe(sent->call));
        at(sent->call.timeout.value(), [this, sent] {
            if (std::exchange(sent->isAnswered, true))
                return;
            WorkerAnswer answer;
            answer.call = sent->call.call;
            deliver(sent, std::move(answer), 0);
        });
        std::int64_t transit = m_random.between(1, 5);
        if (hasFaults()) {
            if (m_random.chance(m_plan.lostCalls))
                return;
            sent->isUnheard = m_random.chance(m_plan.lostAnswers);
            if (m_random.chance(m_plan.lateCalls)) {
                sent->isUnheard = true;
                sent->heldBack = m_random.between(500, 5000);
            } else if (m_random.chance(m_plan.lateCalls)) {
                transit = m_random.between(20, 400);
            }
        }
        at(transit, [this, sent] { arrive(sent); });
    });
}

void CellModel::arrive(const SentCall &sent)
{
    const auto place = std::find_if(m_places.begin(), m_places.end(), [&](const Place &candidate) {
        return candidate.address == sent->call.address;
    });
    if (place->worker == nullptr || m_now < place->cutUntil)
        return;
    // What has reached a process ends with it.
    const std::weak_ptr<ModelWorker> life = place->worker;
    if (sent->heldBack > 0)
        at(sent->heldBack, [this, sent, life] { execute(sent, life); });
    else
        execute(sent, life);
}

void CellModel::execute(const SentCall &sent, const std::weak_ptr<ModelWorker> &life)
{
    const std::shared_ptr<ModelWorker> worker = life.lock();
    if (worker == nullptr)
        return;
    if (worker->isFrozen(m_now)) {
        at((worker->frozenUntil() - m_now).value() + m_random.between(0, 5),
           [this, sent, life] { execute(sent, life); });
        return;
    }
    if (worker->report().incarnation.worker != sent->call.incarnation.worker) {
        WorkerAnswer answer;
        answer.call = sent->call.call;
        answer.verdict = WorkerVerdict::OtherIncarnation;
        reply(sent, std::move(answer));
        return;
    }
    worker->advance(m_now);
    const auto *hold = std::get_if<OrderLeaseRenewal>(&sent->call.order);
    WorkerAnswer answer = worker->execute(m_now, sent->call);
    if (hold != nullptr && !worker->hasEnds() && hold->wait > Milliseconds(0))
        wait(sent, life, m_now + hold->wait);
    else
        reply(sent, std::move(answer));
}

void CellModel::wait(const SentCall &sent, const std::weak_ptr<ModelWorker> &worker, Instant until)
{
    at(StepTime, [=, this] {
        const std::shared_ptr<ModelWorker> alive = worker.lock();
        if (alive == nullptr || sent->isAnswered)
            return;
        if (alive->isFrozen(m_now) || (!alive->hasEnds() && m_now < until)) {
            wait(sent, worker, until);
            return;
        }
        CallWorker look = sent->call;
        look.leaseUntil = 0;
        reply(sent, alive->execute(m_now, look));
    });
}

void CellModel::reply(const SentCall &sent, WorkerAnswer answer)
{
    note("done " + describe(sent->call) + ": " + describe(answer));
    if (sent->isUnheard || sent->isAnswered)
        return;
    const bool isSlow = hasFaults() && m_random.chance(m_plan.lateCalls);
    at(isSlow ? m_random.between(20, 600) : m_random.between(1, 5),
       [this, sent, answer = std::move(answer)] {
           if (!std::exchange(sent->isAnswered, true))
               deliver(sent, answer, 0);
       });
}

void CellModel::deliver(const SentCall &sent, WorkerAnswer answer, std::int64_t delay)
{
    at(delay, [this, sent, answer = std::move(answer)] {
        Host *const host = hostOf(sent->fence);
        if (host == nullptr)
            return;
        note("got " + describe(answer));
        host->leader->receive(m_now, answer, host->out);
        pump(*host);
    });
}

void CellModel::bear(Place &place, bool isSameName)
{
    if (!isSameName || place.name.empty()) {
        place.name = place.address + "-" + std::to_string(++place.names);
    } else {
        // An order can't tell such lives apart, and leases of the former mean nothing to the next.
        place.cutUntil = m_now;
        place.calmUntil = m_now + Milliseconds(CalmLife);
    }
    WorkerReport report;
    report.incarnation = {WorkerId(place.name), Milliseconds(m_now.value())};
    report.pool = PoolId("pool");
    report.address = place.address;
    report.capacity.cores = MilliCores(WorkerCores);
    report.capacity.memory = Mebibytes(100'000);
    place.worker = std::make_shared<ModelWorker>(m_now, report, m_random.between(980, 1000),
                                                 m_oracle, m_random);
    note("born " + place.name);
    beat(place);
}

void CellModel::beat(Place &place)
{
    const std::weak_ptr<ModelWorker> life = place.worker;
    at(m_random.between(1, 10), [=, this, &place] {
        const std::shared_ptr<ModelWorker> worker = life.lock();
        if (worker == nullptr)
            return;
        if (!worker->isFrozen(m_now) && m_now >= place.cutUntil) {
            const WorkerHeartbeat told = worker->beat(m_now);
            const bool isLate = hasFaults() && m_random.chance(m_plan.lateCalls);
            at(isLate ? m_random.between(500, 6000) : 2, [this, told] { call(told); });
        }
        at(BeatPause, [=, this, &place] {
            if (!life.expired() && life.lock() == place.worker)
                beat(place);
        });
    });
}

void CellModel::crash(Place &place)
{
    if (place.worker == nullptr)
        return;
    note("crash " + place.name);
    place.worker->die();
    place.worker.reset();
    const bool isSameName = m_random.chance(0.6);
    at(m_random.between(10, 4000), [=, this, &place] { bear(place, isSameName); });
}

void CellModel::drain(Place &place)
{
    if (place.worker == nullptr || place.worker->report().isDraining)
        return;
    place.worker->drain();
    beat(place);
    const std::weak_ptr<ModelWorker> life = place.worker;
    at(DrainTime + BeatPause, [=, this, &place] {
        const std::shared_ptr<ModelWorker> worker = life.lock();
        if (worker == nullptr || worker != place.worker)
            return;
        call(WorkerLeave{worker->report().incarnation.worker});
        worker->die();
        place.worker.reset();
        at(m_random.between(10, 4000), [=, this, &place] { bear(place, false); });
    });
}

CellModel::Place &CellModel::anyPlace()
{
    return m_places[std::size_t(m_random.between(0, std::int64_t(m_places.size()) - 1))];
}

void CellModel::call(const CellCall &call)
{
    Host *const host = current();
    if (host == nullptr)
        return;
    host->leader->receive(m_now, Milliseconds(m_now.value()),
                          {HostId("host"), ExchangeId(++m_lastExchange)}, call, host->out);
    pump(*host);
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
    queue.maxAttempts = MostAttempts;
    document.queues = {queue};
    document.pools = {{PoolId("pool"), false}};
    Resources cap;
    cap.cores = MilliCores(TeamCores);
    document.teams = {{TeamId("alpha"), {ApiKey("key-of-alpha")}, 1, cap}};
    call(PutConfiguration{document, {}});
}

void CellModel::submit(bool isLongRunning)
{
    std::string id = std::to_string(m_specs.size());
    id = std::string(16 - id.size(), '0') + id;
    const bool isHopeless = m_random.chance(0.03);
    JobSpec spec;
    const std::int64_t time = isLongRunning ? 0 : m_plan.taskTime;
    spec.payload = std::to_string(time) + (isHopeless && !isLongRunning ? " 1.0" : " 0.02");
    const std::int64_t steps = isLongRunning ? 1 : m_random.between(1, m_plan.steps);
    for (std::uint32_t number = 0; number < steps; ++number) {
        StepSpec step;
        step.count = std::uint32_t(m_random.between(1, isLongRunning ? 2 : 6));
        step.perTask.cores = MilliCores(isLongRunning ? 100 : m_random.between(50, m_plan.cores));
        step.perTask.memory = Mebibytes(10);
        step.estimate = Milliseconds(m_plan.taskTime);
        step.isLongRunning = isLongRunning;
        if (number > 0)
            step.after = {number - 1};
        spec.steps.push_back(step);
    }
    m_specs.emplace(JobId(id), spec);
    m_oracle.submitted(JobId(id), spec, MostAttempts);
    call(JobCall{JobVerb::Submit, "h", "/q/" + id, ApiKey("key-of-alpha"), spec, {}});
}

void CellModel::checkJobs(bool isEnd)
{
    for (const auto &[id, spec] : m_specs) {
        const auto job = m_durable.jobs.find(id);
        if (job == m_durable.jobs.end())
            continue;
        if (isEnd && !spec.steps[0].isLongRunning && !job->second.isOver())
            m_oracle.addFault({{id, 0, 0}, 0}, "a job never ends");
        if (isEnd && spec.steps[0].isLongRunning) {
            for (std::uint32_t index = 0; index < spec.steps[0].count; ++index) {
                if (m_oracle.runsAtWork({{id, 0, 0}, index}) != 1)
                    m_oracle.addFault({{id, 0, 0}, index}, "a lasting task is not at work");
            }
        }
        if (isEnd
            && (job->second.state == JobState::Completed || job->second.state == JobState::Failed))
            m_oracle.shown(id, job->second.state);
    }
}

std::size_t CellModel::jobsDone() const
{
    return std::size_t(std::count_if(m_durable.jobs.begin(), m_durable.jobs.end(),
                                     [](const auto &entry) { return entry.second.isOver(); }));
}

void CellModel::play()
{
    passUntil(m_now + Milliseconds(1000));
    for (std::int64_t job = 0; job < m_plan.lastingJobs; ++job)
        submit(true);
    const auto whileFaulty = [this](std::int64_t pause, const Action &action) {
        if (pause > 0)
            repeat(pause / 2, pause, [=, this] {
                if (hasFaults())
                    action();
            });
    };
    whileFaulty(m_plan.cutPause, [this] {
        Place &place = anyPlace();
        if (m_now < place.calmUntil)
            return;
        place.cutUntil = m_now + Milliseconds(m_random.between(200, 8000));
        note("cut " + place.address);
    });
    whileFaulty(m_plan.crashPause, [this] { crash(anyPlace()); });
    whileFaulty(m_plan.freezePause, [this] {
        Place &place = anyPlace();
        const bool isAwake = place.worker != nullptr && !place.worker->isFrozen(m_now);
        if (isAwake && m_now >= place.calmUntil)
            place.worker->freeze(m_now, m_now + Milliseconds(m_random.between(200, 5000)));
    });
    whileFaulty(m_plan.leaderPause, [this] { changeLeader(); });
    whileFaulty(m_plan.drainPause, [this] { drain(anyPlace()); });
    const Instant end = m_begin + Milliseconds(m_plan.length);
    repeat(m_plan.jobPause / 2, m_plan.jobPause, [this, end] {
        const bool isBusy = (m_now - m_begin).value() >= m_plan.calm || m_random.chance(0.02);
        if (m_now < end && isBusy)
            submit(false);
    });
    passUntil(end + Milliseconds(CalmTime));
    checkJobs(true);
    for (const auto &[id, spec] : m_specs) {
        if (spec.steps[0].isLongRunning)
            call(JobCall{JobVerb::Cancel, "h", "/q/" + id.value(), ApiKey("key-of-alpha"), {}, {}});
    }
    passUntil(m_now + Milliseconds(CancelTime));
    for (const auto &[id, job] : m_durable.jobs) {
        if (jobstore::hasOpenRun(job))
            m_oracle.addFault({{id, 0, 0}, 0}, "a run of an ended job is never closed");
    }
    m_actions.clear();
}

} // namespace gentiancross::tests
