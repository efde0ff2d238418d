#include "benchmarks/reducer_load.h"

#include "drivers/codec.h"
#include "drivers/journal_file.h"

#include <utility>

namespace gentiancross::benchmarks {

namespace {

constexpr int WorkersPerRack = 6;
constexpr int StepsToBegin = 100;
constexpr int HttpOk = 200;

} // namespace

ReducerLoad::ReducerLoad()
{
    m_root = std::make_unique<HostReducer>(tests::soloOptions("run"));
    feed(Recovered{{}, true});
    for (int step = 0; step < StepsToBegin; ++step)
        tick();
}

void ReducerLoad::feed(EventPayload payload)
{
    for (Effect &effect :
         m_root->reduce({m_now, Milliseconds(m_now.value()), std::move(payload)})) {
        if (auto *persist = std::get_if<Persist>(&effect)) {
            m_token = persist->token;
            for (const JournalRecord &record : persist->records)
                m_recordBytes += static_cast<double>(JournalFile::encodeRecord(record).size());
        } else if (auto *start = std::get_if<StartTask>(&effect)) {
            m_starts.push_back(std::move(*start));
        } else if (const auto *reply = std::get_if<Reply>(&effect)) {
            if (const auto *told = std::get_if<AnnouncementReply>(&reply->answer))
                m_told = *told;
        }
    }
    if (m_token > m_synced) {
        m_synced = m_token;
        feed(Synced{m_token});
    }
}

void ReducerLoad::tick()
{
    m_now = m_now + Milliseconds(50);
    feed(Ticked{});
}

void ReducerLoad::change(const std::string &name, const ReplicatedCommand &command)
{
    feed(tests::operatorChange(++m_exchange, name, command));
}

void ReducerLoad::makeTeams(int teams)
{
    for (int team = 0; team < teams; ++team) {
        const std::string name = std::to_string(team);
        change("team" + name,
               PutTeam{TeamId("t" + name), ObjectVersion(), 1, MilliCores(1'000'000'000)});
        change("key" + name, GrantKey{TeamId("t" + name), KeyId("k"), KeyHash("k" + name)});
    }
}

const AnnouncementReply &ReducerLoad::announce(int worker, const std::vector<TaskId> &running,
                                               const std::vector<TaskId> &stopped)
{
    AnnouncementReceived event
            = tests::soloAnnouncement(++m_exchange, "w" + std::to_string(worker),
                                      "r" + std::to_string(worker / WorkersPerRack));
    Announcement &announcement = event.announcement;
    announcement.capacity = {MilliCores(32'000), Mebibytes(65'536), Accelerators(0), Slots(16)};
    announcement.session = SessionId("s");
    announcement.workerNow = m_now + Milliseconds(static_cast<std::int64_t>(m_exchange));
    announcement.epoch = m_told.epoch;
    for (const TaskId &task : running)
        announcement.running.push_back({task, TeamId("t0"), {}, {}, {}});
    for (const TaskId &task : stopped)
        announcement.finished.push_back({task, false, Milliseconds(0)});
    feed(std::move(event));
    return m_told;
}

void ReducerLoad::submit(WorkKind kind, std::uint32_t tasks, int team)
{
    SubmitReceived event;
    event.exchange = ExchangeId(++m_exchange);
    event.caller.key = KeyHash("k" + std::to_string(team));
    event.requestName = "hobart/x" + std::to_string(m_exchange);
    event.spec.kind = kind;
    event.spec.taskCount = tasks;
    event.spec.perTask = {MilliCores(1000), Mebibytes(1024), Accelerators(0), Slots(1)};
    feed(std::move(event));
}

void ReducerLoad::endStarts()
{
    for (const StartTask &start : std::exchange(m_starts, {})) {
        CallEnded event;
        event.call = start.call;
        event.outcome = CallOutcome::Answered;
        event.httpStatus = HttpOk;
        event.body = std::make_shared<const std::string>("done");
        feed(std::move(event));
    }
}

} // namespace gentiancross::benchmarks
