#include "tests/control/jobs/cell_group.h"

#include "core/record_size.h"

#include <algorithm>

namespace gentiancross::tests {

namespace {

constexpr std::int64_t StepMilliseconds = 10;
constexpr std::int64_t TickMilliseconds = 50;

bool isKeeperName(const std::string &host)
{
    return host.front() == 'k';
}

} // namespace

CellGroup::CellGroup(int keepers, std::uint64_t seed)
    : m_seed(seed)
{
    for (int number = 1; number <= keepers; ++number)
        start("k" + std::to_string(number), true);
    start("e1", true);
    start("e2", true);
}

void CellGroup::start(const std::string &host, bool isFounding)
{
    CellOptions options;
    options.isKeeper = isKeeperName(host);
    options.directory.self = HostId(host);
    options.directory.hosts.emplace(HostId(host),
                                    HostInfo{HostId(host), DataCentreId(), options.isKeeper});
    for (const char *seed : {"k1", "k2", "k3"}) {
        options.seeds.emplace_back(seed);
        options.directory.hosts.try_emplace(HostId(seed),
                                            HostInfo{HostId(seed), DataCentreId(), true});
    }
    if (isFounding)
        options.directory.initialVoters = options.seeds;
    Recovered recovered;
    if (options.isKeeper) {
        Disk &disk = m_disks[host];
        if (disk.name.empty())
            disk.name = "disk" + std::to_string(++m_disksMade);
        disk.written.clear();
        recovered.records = disk.synced;
        recovered.fresh = disk.synced.empty();
        options.identity.replica = makeReplica(HostId(host), true, disk.name);
    } else {
        options.identity.replica = makeReplica(HostId(host), false, host);
    }
    options.identity.session = SessionId(host + std::to_string(m_now.value()));
    options.seed = ++m_seed;
    m_exited.erase(host);
    m_hosts[host] = std::make_unique<CellRoot>(std::move(options));
    give(host, std::move(recovered));
}

void CellGroup::restart(const std::string &host)
{
    start(host, false);
}

void CellGroup::crash(const std::string &host)
{
    m_waiting.erase(host);
    m_hosts.erase(host);
}

void CellGroup::shutDown(const std::string &host)
{
    give(host, ShutdownRequested{});
}

bool CellGroup::areConnected(const std::string &first, const std::string &second) const
{
    for (const std::set<std::string> &group : m_groups) {
        if (group.contains(first) != group.contains(second))
            return false;
    }
    return true;
}

void CellGroup::give(const std::string &host, EventPayload payload)
{
    const auto found = m_hosts.find(host);
    if (found == m_hosts.end())
        return;
    const auto waiting = m_waiting.find(host);
    if (waiting != m_waiting.end()) {
        waiting->second.push_back(std::move(payload));
        return;
    }
    const Event event{m_now, Milliseconds(m_now.value()), std::move(payload)};
    for (Effect &effect : found->second->reduce(event))
        carryOut(host, std::move(effect));
}

void CellGroup::goOn(const std::string &host)
{
    auto waiting = m_waiting.extract(host);
    for (EventPayload &payload : waiting.mapped())
        give(host, std::move(payload));
}

void CellGroup::carryOut(const std::string &host, Effect effect)
{
    if (auto *message = std::get_if<SendToPeer>(&effect)) {
        if (const auto *told = std::get_if<LeaderReport>(&message->message); told && told->decides)
            m_leaderTold[host] = host;
        if (const auto *append = std::get_if<AppendRequest>(&message->message))
            countEntries(message->to.value(), *append);
        m_flights.push_back({host, message->to.value(), std::move(message->message)});
    } else if (auto *persist = std::get_if<Persist>(&effect)) {
        Disk &disk = m_disks[host];
        if (persist->replaceAll) {
            disk.synced.clear();
            disk.written.clear();
        }
        disk.written.emplace_back(persist->token, std::move(persist->records));
    } else if (const auto *answer = std::get_if<AnswerCall>(&effect)) {
        m_answers[answer->exchange] = answer->answer;
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

void CellGroup::countEntries(const std::string &to, const AppendRequest &append)
{
    std::size_t bytes = 0;
    for (const SharedEntry &entry : append.entries)
        bytes += encodedBytes(*entry);
    ++m_appendsSent[to];
    m_entriesSent[to] += append.entries.size();
    m_largestSent[to] = std::max(m_largestSent[to], bytes);
}

void CellGroup::pass(std::int64_t milliseconds)
{
    const Instant until = m_now + Milliseconds(milliseconds);
    while (m_now < until) {
        m_now = m_now + Milliseconds(StepMilliseconds);
        std::deque<Flight> flights;
        flights.swap(m_flights);
        for (Flight &flight : flights) {
            if (!areConnected(flight.from, flight.to))
                continue;
            std::optional<PeerMessage> tampered
                    = m_tamper ? m_tamper(flight.message) : std::nullopt;
            if (tampered.has_value())
                give(flight.to, PeerMessageReceived{HostId(flight.from), *std::move(tampered), 0});
            give(flight.to, PeerMessageReceived{HostId(flight.from), std::move(flight.message), 0});
        }
        for (auto &[host, disk] : m_disks) {
            if (disk.written.empty() || !m_hosts.contains(host))
                continue;
            const SyncToken token = disk.written.back().first;
            for (auto &[written, records] : disk.written)
                disk.synced.insert(disk.synced.end(), records.begin(), records.end());
            disk.written.clear();
            give(host, Synced{token});
        }
        if (m_now.value() % TickMilliseconds != 0)
            continue;
        std::vector<std::string> names;
        for (const auto &[host, root] : m_hosts)
            names.push_back(host);
        for (const std::string &host : names)
            give(host, Ticked{});
        for (const std::string &host : m_exited)
            m_hosts.erase(host);
    }
}

ExchangeId CellGroup::call(const std::string &host, const CellCall &call, std::int64_t patience)
{
    const ExchangeId exchange(++m_lastExchange);
    give(host, CellCallReceived{exchange, call, Milliseconds(patience)});
    return exchange;
}

const CallAnswer *CellGroup::answer(ExchangeId exchange) const
{
    const auto found = m_answers.find(exchange);
    return found == m_answers.end() ? nullptr : &found->second;
}

std::optional<std::int64_t> CellGroup::wait(ExchangeId exchange, std::int64_t most)
{
    for (std::int64_t waited = 0; waited <= most; waited += StepMilliseconds) {
        if (answer(exchange) != nullptr)
            return waited;
        pass(StepMilliseconds);
    }
    return std::nullopt;
}

bool CellGroup::isReady(const std::string &host)
{
    const ExchangeId exchange(++m_lastExchange);
    give(host, ReadinessRequested{exchange});
    return m_readiness[exchange];
}

std::optional<std::string> CellGroup::leader()
{
    m_leaderTold.clear();
    pass(1000);
    if (m_leaderTold.empty())
        return std::nullopt;
    return m_leaderTold.begin()->first;
}

} // namespace gentiancross::tests
