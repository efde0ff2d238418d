#include "drivers/codec.h"
#include "tests/control/jobs/job_fixture.h"
#include "tests/control/jobs/simulated_cell.h"
#include "tests/servers/message_mutator.h"

#include <catch2/catch.hpp>

using namespace gentiancross;
using namespace gentiancross::tests;

namespace {

PutConfiguration makeDocument(std::uint64_t version)
{
    ConfigDocument document;
    document.version = DocumentVersion(version);
    QueueConfig queue;
    queue.queue = QueueId("checks");
    queue.host = "h";
    queue.pathPrefix = "/q/";
    queue.timeout = Milliseconds(3000);
    queue.pool = PoolId("pool");
    queue.isPublic = true;
    document.queues = {queue};
    document.pools = {{PoolId("pool"), false}};
    return {document, {}};
}

/** A cell under load whose hosts also receive corrupted copies of some messages of their peers. */
class TamperedCell
{
public:
    explicit TamperedCell(std::uint64_t seed)
        : m_group(4, seed)
        , m_mutator(seed)
    {
        m_group.advance(3000);
        m_group.call("k1", makeDocument(1));
        m_group.advance(300);
        m_group.setTamper([this](const PeerMessage &message) { return tamper(message); });
    }

    void run(int rounds)
    {
        const std::vector<std::string> hosts = {"k1", "k2", "k3", "k4", "e1", "e2"};
        for (int round = 0; round < rounds; ++round) {
            submit(hosts.at(m_mutator.below(hosts.size())));
            sendHeartbeat(hosts.at(m_mutator.below(4)), round);
            m_group.call(hosts.at(m_mutator.below(hosts.size())),
                         makeDocument(static_cast<std::uint64_t>(round)));
            m_group.advance(100);
            for (const std::string &host : hosts)
                answerOrders(host);
        }
    }

    [[nodiscard]] int tamperedMessages() const { return m_tamperedMessages; }

private:
    std::optional<PeerMessage> tamper(const PeerMessage &message)
    {
        constexpr std::uint64_t TamperedOneIn = 8;
        constexpr int MaxTries = 10;
        if (m_mutator.below(TamperedOneIn) != 0)
            return std::nullopt;
        Json::Value json;
        codec::parseJson(codec::encode(message), json);
        for (int tries = 0; tries < MaxTries; ++tries) {
            PeerMessage changed;
            if (!codec::decode(m_mutator.mutateTree(json), changed))
                continue;
            ++m_tamperedMessages;
            return changed;
        }
        return std::nullopt;
    }

    void submit(const std::string &host)
    {
        const std::string digits = std::to_string(++m_job);
        JobSpec spec;
        spec.steps = {makeStep(2, 100), makeStep(1, 100, {0})};
        m_group.call(host,
                     JobCall{JobVerb::Submit,
                             "h",
                             "/q/" + std::string(16 - digits.size(), '0') + digits,
                             {},
                             spec,
                             {}});
    }

    void sendHeartbeat(const std::string &host, int round)
    {
        WorkerHeartbeat heartbeat;
        heartbeat.report.incarnation = makeIncarnation("w" + std::to_string(round % 3));
        heartbeat.report.pool = PoolId("pool");
        heartbeat.report.address = "w" + std::to_string(round % 3) + ":1";
        heartbeat.report.capacity = {MilliCores(2000), Mebibytes(5000), Accelerators(0), Slots(0)};
        heartbeat.clock = std::int64_t(round) * 100;
        heartbeat.sequence = static_cast<std::uint64_t>(round) + 1;
        m_group.call(host, heartbeat);
    }

    void answerOrders(const std::string &host)
    {
        for (const CallWorker &order : m_group.takeOrders(host)) {
            WorkerAnswer answer;
            answer.call = order.call;
            answer.verdict = WorkerVerdict::Done;
            answer.clock = 1000;
            m_group.deliverEvent(host, std::move(answer));
        }
    }

    SimulatedCell m_group;
    MessageMutator m_mutator;
    int m_job = 0;
    int m_tamperedMessages = 0;
};

void runCells(std::uint64_t seeds, int rounds)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        INFO("seed " << seed);
        TamperedCell cell(seed);
        REQUIRE_NOTHROW(cell.run(rounds));
        CHECK(cell.tamperedMessages() > 0);
    }
}

} // namespace

// Guards against a malformed message from a peer that terminates a keeper or an entry host.
TEST_CASE("Malformed messages between the hosts of a cell terminate none of their processes")
{
    runCells(40, 12);
}

TEST_CASE("Malformed messages between the hosts of a cell terminate no process: many seeds",
          "[.fuzz]")
{
    runCells(4000, 20);
}
