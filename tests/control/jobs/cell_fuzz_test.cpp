#include "drivers/codec.h"
#include "tests/control/jobs/cell_group.h"
#include "tests/control/jobs/job_fixture.h"
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

/** A cell at work, in which some messages between its hosts come malformed as well. */
class HostileCell
{
public:
    explicit HostileCell(std::uint64_t seed)
        : m_group(4, seed)
        , m_mutator(seed)
    {
        m_group.pass(3000);
        m_group.call("k1", makeDocument(1));
        m_group.pass(300);
        m_group.setTamper([this](const PeerMessage &message) { return tamper(message); });
    }

    void run(int rounds)
    {
        const std::vector<std::string> hosts = {"k1", "k2", "k3", "k4", "e1", "e2"};
        for (int round = 0; round < rounds; ++round) {
            submit(hosts.at(m_mutator.below(hosts.size())));
            beat(hosts.at(m_mutator.below(4)), round);
            m_group.call(hosts.at(m_mutator.below(hosts.size())),
                         makeDocument(static_cast<std::uint64_t>(round)));
            m_group.pass(100);
            for (const std::string &host : hosts)
                answerOrders(host);
        }
    }

    [[nodiscard]] int tampered() const { return m_tampered; }

private:
    std::optional<PeerMessage> tamper(const PeerMessage &message)
    {
        constexpr std::uint64_t OneIn = 8;
        constexpr int Tries = 10;
        if (m_mutator.below(OneIn) != 0)
            return std::nullopt;
        Json::Value json;
        codec::parseJson(codec::encode(message), json);
        for (int tries = 0; tries < Tries; ++tries) {
            PeerMessage changed;
            if (!codec::decode(m_mutator.mutateTree(json), changed))
                continue;
            ++m_tampered;
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

    void beat(const std::string &host, int round)
    {
        WorkerHeartbeat beat;
        beat.report.incarnation = makeLife("w" + std::to_string(round % 3));
        beat.report.pool = PoolId("pool");
        beat.report.address = "w" + std::to_string(round % 3) + ":1";
        beat.report.capacity = {MilliCores(2000), Mebibytes(5000), Accelerators(0), Slots(0)};
        beat.clock = std::int64_t(round) * 100;
        beat.sequence = static_cast<std::uint64_t>(round) + 1;
        m_group.call(host, beat);
    }

    void answerOrders(const std::string &host)
    {
        for (const CallWorker &order : m_group.takeOrders(host)) {
            WorkerAnswer answer;
            answer.call = order.call;
            answer.verdict = WorkerVerdict::Done;
            answer.clock = 1000;
            m_group.give(host, std::move(answer));
        }
    }

    CellGroup m_group;
    MessageMutator m_mutator;
    int m_job = 0;
    int m_tampered = 0;
};

void runCells(std::uint64_t seeds, int rounds)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        INFO("seed " << seed);
        HostileCell cell(seed);
        REQUIRE_NOTHROW(cell.run(rounds));
        CHECK(cell.tampered() > 0);
    }
}

} // namespace

// Guards against a malformed message of another host that takes a keeper or an entry host down.
TEST_CASE("Whatever hosts of a cell send each other ends none of their processes")
{
    runCells(40, 12);
}

TEST_CASE("Whatever hosts of a cell send each other ends none: many seeds", "[.fuzz]")
{
    runCells(4000, 20);
}
