#include "tests/control/jobs/simulated_cell.h"

#include "core/record_size.h"

#include <algorithm>
#include <iterator>

namespace gentiancross::tests {

namespace {

constexpr std::int64_t StepMs = 10;
constexpr std::int64_t TickMs = 50;

bool isKeeperName(const std::string &host)
{
    return host.front() == 'k';
}

} // namespace

SimulatedCell::SimulatedCell(int keepers, std::uint64_t seed, VoterOptions voters)
    : m_seed(seed)
    , m_voters(voters)
{
    for (int number = 1; number <= keepers; ++number)
        start("k" + std::to_string(number), true);
    start("e1", true);
    start("e2", true);
}

void SimulatedCell::start(const std::string &host, bool isFirstStart)
{
    CellOptions options;
    options.isKeeper = isKeeperName(host);
    options.directory.self = HostId(host);
    options.directory.hosts.emplace(HostId(host),
                                    HostInfo{HostId(host), DataCentreId(), options.isKeeper});
    for (const std::string &seed : m_seeds) {
        options.seeds.emplace_back(seed);
        options.directory.hosts.try_emplace(HostId(seed),
                                            HostInfo{HostId(seed), DataCentreId(), true});
    }
    if (isFirstStart)
        options.directory.initialVoters = options.seeds;
    Recovered recovered;
    if (options.isKeeper) {
        Disk &disk = m_disks[host];
        if (disk.name.empty())
            disk.name = "disk" + std::to_string(++m_createdDisks);
        disk.written.clear();
        recovered.records = disk.synced;
        recovered.fresh = disk.synced.empty();
        options.identity.replica = makeReplica(HostId(host), true, disk.name);
    } else {
        options.identity.replica = makeReplica(HostId(host), false, host);
    }
    options.identity.session = SessionId(host + std::to_string(m_now.value()));
    options.seed = ++m_seed;
    options.voters = m_voters;
    m_exited.erase(host);
    m_hosts[host] = std::make_unique<CellRoot>(std::move(options));
    deliverEvent(host, std::move(recovered));
}

void SimulatedCell::setSeeds(std::vector<std::string> seeds)
{
    m_seeds = std::move(seeds);
    SeedsRead read;
    for (const std::string &seed : m_seeds)
        read.seeds.emplace_back(seed);
    std::vector<std::string> running;
    for (const auto &[host, root] : m_hosts)
        running.push_back(host);
    for (const std::string &host : running)
        deliverEvent(host, read);
}

void SimulatedCell::restart(const std::string &host)
{
    start(host, false);
}

void SimulatedCell::crash(const std::string &host)
{
    m_pausedEvents.erase(host);
    m_hosts.erase(host);
}

void SimulatedCell::shutDown(const std::string &host)
{
    deliverEvent(host, ShutdownRequested{});
}

void SimulatedCell::heal()
{
    m_groups.clear();
    m_deaf.clear();
    m_messagesInFlight.insert(m_messagesInFlight.begin(),
                              std::make_move_iterator(m_delayedMessages.begin()),
                              std::make_move_iterator(m_delayedMessages.end()));
    m_delayedMessages.clear();
}

bool SimulatedCell::areConnected(const std::string &first, const std::string &second) const
{
    for (const std::set<std::string> &group : m_groups) {
        if (group.contains(first) != group.contains(second))
            return false;
    }
    return true;
}

void SimulatedCell::deliverEvent(const std::string &host, EventPayload payload)
{
    const auto found = m_hosts.find(host);
    if (found == m_hosts.end())
        return;
    const auto paused = m_pausedEvents.find(host);
    if (paused != m_pausedEvents.end()) {
        paused->second.push_back(std::move(payload));
        return;
    }
    const Event event{m_now, Milliseconds(m_now.value()), std::move(payload)};
    for (Effect &effect : found->second->reduce(event))
        applyEffect(host, std::move(effect));
}

void SimulatedCell::resumeProcess(const std::string &host)
{
    auto paused = m_pausedEvents.extract(host);
    for (EventPayload &payload : paused.mapped())
        deliverEvent(host, std::move(payload));
}

void SimulatedCell::applyEffect(const std::string &host, Effect effect)
{
    if (auto *message = std::get_if<SendToPeer>(&effect)) {
        if (const auto *report = std::get_if<LeaderReport>(&message->message);
            report && report->decides)
            m_leaderReports[host] = host;
        if (const auto *append = std::get_if<AppendRequest>(&message->message))
            recordAppend(message->to.value(), *append);
        m_messagesInFlight.push_back({host, message->to.value(), std::move(message->message)});
    } else if (auto *persist = std::get_if<Persist>(&effect)) {
        Disk &disk = m_disks[host];
        if (persist->replaceAll) {
            disk.synced.clear();
            disk.written.clear();
        }
        disk.written.emplace_back(persist->token, std::move(persist->records));
    } else if (const auto *answer = std::get_if<AnswerCall>(&effect)) {
        m_answers[answer->exchange] = answer->answer;
        m_repeatedAnswers += m_answerTimes.try_emplace(answer->exchange, m_now).second ? 0 : 1;
    } else if (const auto *reply = std::get_if<Reply>(&effect)) {
        m_readiness[reply->exchange] = std::get<ReadinessAnswer>(reply->answer).ready;
    } else if (const auto *measured = std::get_if<Measured>(&effect)) {
        Measurements &all = m_measurements[host];
        all.insert(all.end(), measured->measurements.begin(), measured->measurements.end());
    } else if (auto *order = std::get_if<CallWorker>(&effect)) {
        m_orders[host].push_back(std::move(*order));
    } else if (std::holds_alternative<Exit>(effect)) {
        m_exited.insert(host);
    }
}

void SimulatedCell::recordAppend(const std::string &to, const AppendRequest &append)
{
    std::size_t bytes = 0;
    for (const SharedEntry &entry : append.entries)
        bytes += encodedBytes(*entry);
    ++m_appendsSent[to];
    m_entriesSent[to] += append.entries.size();
    m_maxAppendBytes[to] = std::max(m_maxAppendBytes[to], bytes);
}

void SimulatedCell::advance(std::int64_t milliseconds)
{
    const Instant until = m_now + Milliseconds(milliseconds);
    while (m_now < until) {
        m_now = m_now + Milliseconds(StepMs);
        std::deque<MessageInFlight> delivered;
        delivered.swap(m_messagesInFlight);
        for (MessageInFlight &delivery : delivered) {
            if (!areConnected(delivery.from, delivery.to))
                continue;
            if (m_deaf.contains(delivery.to)) {
                m_delayedMessages.push_back(std::move(delivery));
                continue;
            }
            std::optional<PeerMessage> tampered
                    = m_tamper ? m_tamper(delivery.message) : std::nullopt;
            if (tampered.has_value())
                deliverEvent(delivery.to,
                             PeerMessageReceived{HostId(delivery.from), *std::move(tampered), 0});
            deliverEvent(
                    delivery.to,
                    PeerMessageReceived{HostId(delivery.from), std::move(delivery.message), 0});
        }
        for (auto &[host, disk] : m_disks) {
            if (disk.written.empty() || !m_hosts.contains(host))
                continue;
            const SyncToken token = disk.written.back().first;
            for (auto &[written, records] : disk.written)
                disk.synced.insert(disk.synced.end(), records.begin(), records.end());
            disk.written.clear();
            deliverEvent(host, Synced{token});
        }
        if (m_now.value() % TickMs != 0)
            continue;
        std::vector<std::string> names;
        for (const auto &[host, root] : m_hosts)
            names.push_back(host);
        for (const std::string &host : names)
            deliverEvent(host, Ticked{});
        for (const std::string &host : m_exited)
            m_hosts.erase(host);
    }
}

ExchangeId SimulatedCell::call(const std::string &host, const CellCall &call,
                               std::int64_t timeoutMs)
{
    const ExchangeId exchange(++m_lastExchange);
    deliverEvent(host, CellCallReceived{exchange, call, Milliseconds(timeoutMs)});
    return exchange;
}

const CallAnswer *SimulatedCell::answer(ExchangeId exchange) const
{
    const auto found = m_answers.find(exchange);
    return found == m_answers.end() ? nullptr : &found->second;
}

std::optional<Instant> SimulatedCell::answeredAt(ExchangeId exchange) const
{
    const auto found = m_answerTimes.find(exchange);
    return found == m_answerTimes.end() ? std::nullopt : std::optional(found->second);
}

std::optional<std::int64_t> SimulatedCell::wait(ExchangeId exchange, std::int64_t timeoutMs)
{
    for (std::int64_t waited = 0; waited <= timeoutMs; waited += StepMs) {
        if (answer(exchange) != nullptr)
            return waited;
        advance(StepMs);
    }
    return std::nullopt;
}

bool SimulatedCell::isReady(const std::string &host)
{
    const ExchangeId exchange(++m_lastExchange);
    deliverEvent(host, ReadinessRequested{exchange});
    return m_readiness[exchange];
}

std::optional<std::string> SimulatedCell::leader()
{
    m_leaderReports.clear();
    advance(1000);
    if (m_leaderReports.empty())
        return std::nullopt;
    return m_leaderReports.begin()->first;
}

} // namespace gentiancross::tests
