#include "tests/soak/keeper_losses.h"

#include "tests/runner/sender.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace gentiancross::tests {

namespace {

constexpr std::size_t Readers = 8;
constexpr Milliseconds ReadTimeout{1000};
constexpr std::chrono::milliseconds ReadPause{100};
/** The least time after which a host that is back or new no longer counts as lost. */
constexpr std::chrono::milliseconds CatchUpTime{6000};
constexpr std::chrono::milliseconds CutTime{2500};
/** Longer than any call of an operator or a worker waits for its answer. */
constexpr std::chrono::milliseconds CallTime{3000};

void sleepFor(std::int64_t milliseconds)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

/** The value of a metric without labels; empty if the text lacks it. */
std::optional<long> valueOf(const std::string &text, const std::string &name)
{
    const std::size_t found = text.find("\n" + name + ' ');
    if (found == std::string::npos)
        return std::nullopt;
    const char *const begin = text.data() + found + name.size() + 2;
    long value = 0;
    std::from_chars(begin, text.data() + text.size(), value);
    return value;
}

} // namespace

KeeperLosses::KeeperLosses(CellProcesses &cell, SoakRandom &random, InvariantChecker &checker)
    : m_cell(cell)
    , m_random(random)
    , m_checker(checker)
{}

KeeperLosses::~KeeperLosses()
{
    stopReaders();
}

void KeeperLosses::startReaders()
{
    publishAddresses();
    m_isReading = true;
    for (std::size_t reader = 0; reader < Readers; ++reader)
        m_readers.emplace_back([this, reader] { readConfiguration(reader); });
}

void KeeperLosses::stopReaders()
{
    m_isReading = false;
    for (std::thread &reader : m_readers)
        reader.join();
    m_readers.clear();
}

void KeeperLosses::readConfiguration(std::size_t reader)
{
    for (std::size_t turn = reader; m_isReading; ++turn) {
        std::string address;
        {
            const std::lock_guard lock(m_mutex);
            address = m_addresses[turn % m_addresses.size()];
        }
        callAndWait("GET", address, "/config/get", {}, {}, {}, false, ReadTimeout);
        std::this_thread::sleep_for(ReadPause);
    }
}

void KeeperLosses::publishAddresses()
{
    const std::lock_guard lock(m_mutex);
    m_addresses = m_cell.controlAddresses();
}

std::vector<std::string> KeeperLosses::keepers() const
{
    std::vector<std::string> names;
    for (const CellProcess &host : m_cell.hosts()) {
        if (host.isKeeper)
            names.push_back(host.name);
    }
    return names;
}

std::string KeeperLosses::leader() const
{
    std::string leader;
    long newest = -1;
    for (const std::string &keeper : keepers()) {
        const long term = m_cell.lastTermLed(keeper);
        if (term > newest) {
            newest = term;
            leader = keeper;
        }
    }
    return leader;
}

void KeeperLosses::disturb()
{
    const std::int64_t kind = m_random.between(0, 9);
    if (kind < 4) {
        loseForGood(int(m_random.between(1, m_cell.tolerance())));
        if (kind < 2) {
            sleepFor(m_random.between(0, 2000));
            killAll();
        }
    } else if (kind < 5) {
        killAll();
    } else {
        cutLeader();
    }
    std::this_thread::sleep_for(CatchUpTime);
}

void KeeperLosses::loseForGood(int count)
{
    for (int number = 0; number < count; ++number) {
        const std::vector<std::string> present = keepers();
        std::string lost
                = present[std::size_t(m_random.between(0, std::int64_t(present.size()) - 1))];
        if (const std::string current = leader(); m_random.chance(0.5) && !current.empty())
            lost = current;
        m_checker.recordEvent(lost + " is removed for good");
        if (m_random.chance(0.5))
            m_cell.terminate(lost);
        m_cell.remove(lost);
    }
    for (int number = 0; number < count; ++number) {
        sleepFor(m_random.between(0, 1000));
        m_checker.recordEvent(m_cell.addKeeper() + " is added");
    }
    publishAddresses();
}

void KeeperLosses::killAll()
{
    m_checker.recordEvent("kill all keepers");
    for (const std::string &keeper : keepers())
        m_cell.kill(keeper);
    sleepFor(m_random.between(100, 1000));
    for (const std::string &keeper : keepers())
        m_cell.start(keeper);
}

void KeeperLosses::cutLeader()
{
    const std::string cut = leader();
    if (cut.empty())
        return;
    m_checker.recordEvent("block peer traffic to the leader " + cut);
    m_cell.setPeersCut(cut, true);
    std::this_thread::sleep_for(CutTime);
    m_cell.setPeersCut(cut, false);
}

void KeeperLosses::checkOpenExchanges()
{
    std::this_thread::sleep_for(CallTime);
    for (const std::string &address : m_cell.metricsAddresses()) {
        const HttpResult result
                = callAndWait("GET", address, "/metrics", {}, {}, {}, false, ReadTimeout);
        if (result.outcome != CallOutcome::Answered) {
            m_checker.reportViolation("the metrics could not be read: " + address);
            continue;
        }
        // Workers go on calling, so some exchanges are open for a moment.
        const std::string &text = *result.response.body;
        for (const char *metric :
             {"gentiancross_exchanges_overdue", "gentiancross_configuration_reads_open"}) {
            const std::optional<long> open = valueOf(text, metric);
            if (!open.has_value())
                m_checker.reportViolation(std::string(metric) + " is missing at " + address);
            else if (*open > 0)
                m_checker.reportViolation(std::string(metric) + " is " + std::to_string(*open)
                                          + " at " + address);
        }
    }
}

} // namespace gentiancross::tests
