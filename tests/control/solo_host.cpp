#include "tests/control/solo_host.h"

#include "tests/control/solo_events.h"

namespace gentiancross::tests {

namespace {

constexpr char MirrorName[] = "mirror";

} // namespace

SoloHost::SoloHost(Companion company)
    : m_companion(company)
{
    begin();
}

void SoloHost::begin()
{
    HostReducerOptions options = soloOptions("run" + std::to_string(++m_runs));
    const HostId mirror(MirrorName);
    if (m_companion == Companion::Mirror)
        options.directory.hosts[mirror] = {mirror, options.directory.own().dataCentre, false};
    m_root = std::make_unique<HostReducer>(std::move(options));
    feed(Recovered{m_durable, m_durable.empty()});
}

void SoloHost::feed(EventPayload payload)
{
    const Event event{m_now, Milliseconds(m_now.value()), std::move(payload)};
    for (Effect &effect : m_root->reduce(event)) {
        if (const auto *persist = std::get_if<Persist>(&effect))
            m_unsynced.push_back(*persist);
        if (const auto *reply = std::get_if<Reply>(&effect)) {
            if (const auto *answer = std::get_if<AnnouncementReply>(&reply->answer))
                m_workerEpoch = answer->epoch;
        }
        if (const auto *sent = std::get_if<SendToPeer>(&effect)) {
            if (const auto *append = std::get_if<MirrorAppend>(&sent->message))
                m_unansweredAppends.push_back(*append);
        }
        m_effects.push_back(std::move(effect));
    }
    if (m_autoSync)
        sync();
    answerAsMirror();
}

void SoloHost::answerAsMirror()
{
    const HostId mirror(MirrorName);
    for (const MirrorAppend &append : std::exchange(m_unansweredAppends, {})) {
        if (!m_mirrorAnswers)
            continue;
        MirrorReply reply;
        reply.dataCentre = append.dataCentre;
        reply.epoch = append.epoch;
        reply.replica = makeReplica(mirror, false, "1");
        reply.sentAt = append.sentAt;
        reply.held = RecordSequence(append.previous.value() + append.records.size());
        reply.synced = true;
        feed(PeerMessageReceived{mirror, std::move(reply), 0});
    }
}

void SoloHost::sync()
{
    while (!m_unsynced.empty()) {
        const SyncToken token = m_unsynced.back().token;
        for (const Persist &persist : m_unsynced) {
            if (persist.replaceAll)
                m_durable.clear();
            m_durable.insert(m_durable.end(), persist.records.begin(), persist.records.end());
        }
        m_unsynced.clear();
        feed(Synced{token});
    }
}

void SoloHost::run(int steps)
{
    for (int step = 0; step < steps; ++step) {
        m_now = m_now + Milliseconds(50);
        feed(Ticked{});
    }
}

void SoloHost::restart()
{
    m_unsynced.clear();
    begin();
}

void SoloHost::operatorChange(const std::string &name, const ReplicatedCommand &command)
{
    feed(tests::operatorChange(++m_exchange, name, command));
    run(3);
}

void SoloHost::prepare(std::int64_t limit)
{
    run(80);
    operatorChange("team", PutTeam{TeamId("t"), ObjectVersion(), 1, MilliCores(limit)});
    operatorChange("key", GrantKey{TeamId("t"), KeyId("k"), KeyHash("k")});
    announce();
    advance(Milliseconds(50));
    announce();
    clearEffects();
}

void SoloHost::addTeam(const std::string &team)
{
    operatorChange("team-" + team, PutTeam{TeamId(team), ObjectVersion(), 1, MilliCores(100'000)});
    operatorChange("key-" + team, GrantKey{TeamId(team), KeyId("k"), KeyHash(team)});
    clearEffects();
}

void SoloHost::announce(const std::vector<std::string> &running,
                        const std::vector<std::string> &finished)
{
    AnnouncementReceived event = soloAnnouncement(++m_exchange, "w", "r");
    Announcement &announcement = event.announcement;
    announcement.capacity = {MilliCores(32'000), Mebibytes(64'000), Accelerators(0), Slots(8)};
    announcement.session = SessionId("w1");
    announcement.workerNow = workerClock();
    announcement.epoch = m_workerEpoch;
    announcement.leaving = m_leaving;
    for (const std::string &task : running)
        announcement.running.push_back({TaskId(task), TeamId("t"), {}, {}, {}});
    for (const std::string &task : finished)
        announcement.finished.push_back({TaskId(task), true, Milliseconds(10)});
    feed(std::move(event));
}

ExchangeId SoloHost::submit(const std::string &name, bool idempotent, const std::string &key)
{
    SubmitReceived event;
    event.exchange = ExchangeId(++m_exchange);
    event.caller.key = KeyHash(key);
    event.requestName = name;
    event.spec.perTask = {MilliCores(1000), Mebibytes(0), Accelerators(0), Slots(1)};
    event.spec.idempotent = idempotent;
    event.spec.deadline = Milliseconds(20'000);
    const ExchangeId exchange = event.exchange;
    feed(std::move(event));
    return exchange;
}

} // namespace gentiancross::tests
