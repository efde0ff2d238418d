#include "tests/control/jobs/founded_cell.h"
#include "tests/control/jobs/job_fixture.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace gentiancross;
using namespace gentiancross::tests;

namespace {

/** User requirement: urgent work starts within this time, even when a host is lost. */
constexpr std::int64_t UrgentMilliseconds = 2100;

using Cell = FoundedCell;

} // namespace

TEST_CASE("A cell founds itself through its seeds, and every host serves callers")
{
    Cell cell;
    for (const char *host : {"k1", "k2", "k3", "k4", "e1", "e2"}) {
        CHECK(cell.group.isReady(host));
        const ExchangeId get = cell.group.call(host, GetConfiguration{});
        cell.group.wait(get, 1000);
        CHECK(sourceOf(cell.group.answer(get)) == "version 1");
    }
    CHECK(cell.submit("e1", 1, 1000));
    CHECK(cell.knows("e2", 1));
}

TEST_CASE("A call made at the loss of the leader is decided by the next leader in time")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Cell cell(4, seed);
        const std::optional<std::string> leader = cell.group.leader();
        REQUIRE(leader.has_value());
        REQUIRE(cell.submit("e1", 1, 1000));
        cell.group.crash(*leader);
        CHECK(cell.submit("e1", 2, UrgentMilliseconds));
        CHECK(cell.knows("e2", 1));
        CHECK(cell.knows("e2", 2));
    }
}

TEST_CASE("A leader that shuts down hands over leadership before it exits")
{
    Cell cell;
    const std::optional<std::string> leader = cell.group.leader();
    REQUIRE(leader.has_value());
    cell.group.shutDown(*leader);
    CHECK_FALSE(cell.group.isReady(*leader));
    CHECK(cell.submit("e1", 1, UrgentMilliseconds));
    cell.group.advance(3000);
    CHECK(cell.group.hasExited(*leader));
    CHECK(cell.knows("e1", 1));
}

TEST_CASE("A lost voter is replaced by another keeper, so that the next loss is tolerated too")
{
    Cell cell;
    const std::optional<std::string> first = cell.group.leader();
    REQUIRE(first.has_value());
    cell.group.crash(*first);
    cell.group.advance(9000);
    const std::optional<std::string> second = cell.group.leader();
    REQUIRE(second.has_value());
    cell.group.crash(*second);
    CHECK(cell.submit("e1", 1, UrgentMilliseconds));
}

TEST_CASE("A keeper that restarts with an empty disk catches up and gives no stale answer")
{
    Cell cell;
    REQUIRE(cell.submit("e1", 1, 1000));
    const std::optional<std::string> leader = cell.group.leader();
    REQUIRE(leader.has_value());
    cell.group.crash(*leader);
    cell.group.loseDisk(*leader);
    cell.group.restart(*leader);
    cell.group.advance(6000);
    CHECK(cell.knows(*leader, 1));
    const ExchangeId get = cell.group.call(*leader, GetConfiguration{});
    cell.group.wait(get, 1000);
    CHECK(sourceOf(cell.group.answer(get)) == "version 1");
}

TEST_CASE("A silent follower is sent no entries until it answers, then it catches up")
{
    // Guards against a leader that runs out of memory by resending entries to a host that is cut
    // off.
    Cell cell;
    const std::optional<std::string> leader = cell.group.leader();
    REQUIRE(leader.has_value());
    const std::string silent = *leader == "k3" ? "k2" : "k3";
    cell.group.partition({{silent}});
    cell.group.advance(2000);
    const std::size_t before = cell.group.entriesSentTo(silent);
    for (int number = 1; number <= 200; ++number) {
        JobCall call = makeSubmit(number);
        JobSpec spec = *call.spec;
        spec.payload = std::string(4000, 'x');
        call.spec = std::move(spec);
        const ExchangeId exchange = cell.group.call("e1", call);
        cell.group.wait(exchange, 1000);
        REQUIRE(isDone(cell.group.answer(exchange)));
    }
    cell.group.advance(2000);
    CHECK(cell.group.entriesSentTo(silent) == before);
    cell.group.heal();
    cell.group.advance(3000);
    CHECK(cell.group.entriesSentTo(silent) > before);
    // A message that takes longer to decode than its resend time would be sent again and again.
    CHECK(cell.group.maxAppendBytesSentTo(silent) <= 300'000);
    cell.group.crash(*leader);
    cell.group.advance(2000);
    CHECK(cell.knows("e2", 200));
}

TEST_CASE("Acknowledged changes survive a power loss of all hosts")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        Cell cell(4, seed);
        const ExchangeId put = cell.group.call("k2", makePut(9));
        cell.group.wait(put, 2000);
        REQUIRE(isDone(cell.group.answer(put)));
        REQUIRE(cell.submit("e1", 1, 1000));
        for (const char *host : {"k1", "k2", "k3", "k4"})
            cell.group.crash(host);
        cell.group.advance(2000);
        for (const char *host : {"k1", "k2", "k3", "k4"})
            cell.group.restart(host);
        cell.group.advance(3000);
        CHECK(cell.knows("e1", 1));
        const ExchangeId get = cell.group.call("k1", GetConfiguration{});
        cell.group.wait(get, 1000);
        CHECK(sourceOf(cell.group.answer(get)) == "version 9");
    }
}

TEST_CASE("An isolated leader does not answer reads from its own state")
{
    Cell cell;
    const std::optional<std::string> leader = cell.group.leader();
    REQUIRE(leader.has_value());
    cell.group.partition({{*leader}});
    cell.group.advance(1500);
    const std::string other = *leader == "k1" ? "k2" : "k1";
    const ExchangeId put = cell.group.call(other, makePut(5));
    cell.group.wait(put, 3000);
    REQUIRE(isDone(cell.group.answer(put)));
    const ExchangeId get = cell.group.call(*leader, GetConfiguration{});
    cell.group.wait(get, 4000);
    CHECK(sourceOf(cell.group.answer(get)).empty());
    cell.group.heal();
    cell.group.advance(3000);
    const ExchangeId later = cell.group.call(*leader, GetConfiguration{});
    cell.group.wait(later, 2000);
    CHECK(sourceOf(cell.group.answer(later)) == "version 5");
}

TEST_CASE("Without a quorum calls are refused at once with a time to retry")
{
    Cell cell;
    for (const char *host : {"k1", "k2", "k3"})
        cell.group.crash(host);
    cell.group.advance(5000);
    CHECK_FALSE(cell.group.isReady("e1"));
    const ExchangeId exchange = cell.group.call("e1", makeSubmit(1));
    const CallAnswer *const answer = cell.group.answer(exchange);
    REQUIRE(answer != nullptr);
    const auto *refused = std::get_if<CallRefused>(answer);
    REQUIRE(refused != nullptr);
    CHECK(refused->refusal == Refusal::Unavailable);
    CHECK(refused->retryAfter > Milliseconds(0));
}

TEST_CASE("The older of two concurrent configurations is acknowledged and has no effect")
{
    Cell cell;
    const ExchangeId newer = cell.group.call("k1", makePut(8));
    const ExchangeId older = cell.group.call("k2", makePut(7));
    cell.group.wait(newer, 1000);
    cell.group.wait(older, 1000);
    CHECK(isDone(cell.group.answer(newer)));
    CHECK(isDone(cell.group.answer(older)));
    const ExchangeId get = cell.group.call("k3", GetConfiguration{});
    cell.group.wait(get, 1000);
    CHECK(sourceOf(cell.group.answer(get)) == "version 8");
    ConfigDocument bad = *makePut(9).document;
    bad.queues[0].timeout = Milliseconds(0);
    const ExchangeId refused = cell.group.call("k3", PutConfiguration{bad, {}});
    cell.group.wait(refused, 1000);
    CHECK_FALSE(isDone(cell.group.answer(refused)));
}

TEST_CASE("A follower answers a repeated or an invalid configuration without its leader")
{
    // Guards against a leader that is late with leases since each repeated configuration of
    // thousands of routes reaches it through a follower.
    Cell cell;
    const std::optional<std::string> leader = cell.group.leader();
    REQUIRE(leader.has_value());
    const std::string follower = *leader == "k1" ? "k2" : "k1";
    int relayed = 0;
    cell.group.setTamper([&relayed](const PeerMessage &message) {
        const auto *const call = std::get_if<RelayCallRequest>(&message);
        if (call != nullptr && std::holds_alternative<PutConfiguration>(call->call))
            ++relayed;
        return std::optional<PeerMessage>();
    });
    const ExchangeId repeated = cell.group.call(follower, makePut(1));
    ConfigDocument bad = *makePut(9).document;
    bad.queues[0].timeout = Milliseconds(0);
    const ExchangeId refused = cell.group.call(follower, PutConfiguration{bad, {}});
    cell.group.wait(repeated, 1000);
    cell.group.wait(refused, 1000);
    CHECK(isDone(cell.group.answer(repeated)));
    REQUIRE(cell.group.answer(refused) != nullptr);
    CHECK(std::holds_alternative<CallRefused>(*cell.group.answer(refused)));
    CHECK(relayed == 0);
    const ExchangeId newer = cell.group.call(follower, makePut(2));
    cell.group.wait(newer, 1000);
    CHECK(isDone(cell.group.answer(newer)));
    CHECK(relayed == 1);
}

TEST_CASE("All messages that carry a configuration share it")
{
    // Guards against a leader that is late with leases since its control thread copies
    // configurations of thousands of routes.
    Cell cell;
    const std::optional<std::string> leader = cell.group.leader();
    REQUIRE(leader.has_value());
    const PutConfiguration put = makePut(2);
    int shared = 0;
    int copied = 0;
    cell.group.setTamper([&](const PeerMessage &message) {
        const auto *const append = std::get_if<AppendRequest>(&message);
        for (const SharedEntry &entry :
             append == nullptr ? std::vector<SharedEntry>() : append->entries) {
            const auto *const command = std::get_if<ReplicatedCommand>(&entry->payload);
            const auto *const changes
                    = command == nullptr ? nullptr : std::get_if<JobChanges>(command);
            for (const JobRecord &record :
                 changes == nullptr ? std::vector<JobRecord>() : changes->records) {
                if (const auto *const accepted = std::get_if<DocumentAccepted>(&record))
                    ++(accepted->document.isSame(put.document) ? shared : copied);
            }
        }
        return std::optional<PeerMessage>();
    });
    const ExchangeId exchange = cell.group.call(*leader, put);
    cell.group.wait(exchange, 1000);
    CHECK(isDone(cell.group.answer(exchange)));
    CHECK(shared >= 2);
    CHECK(copied == 0);
}

TEST_CASE("A follower gets one message for an entry, a learner one for many")
{
    // Guards against needless traffic under steady starts with several keepers, where commit-only
    // messages and messages to keepers without a vote were most of what the leader sent.
    Cell cell(6);
    const std::optional<std::string> leader = cell.group.leader();
    REQUIRE(leader.has_value());
    std::map<std::string, std::size_t> before;
    const std::vector<std::string> keepers = {"k1", "k2", "k3", "k4", "k5", "k6"};
    for (const std::string &keeper : keepers)
        before[keeper] = cell.group.appendsSentTo(keeper);
    constexpr int Jobs = 40;
    for (int number = 1; number <= Jobs; ++number) {
        cell.group.call("e1", makeSubmit(number));
        cell.group.advance(50);
    }
    // Two seconds with at most one heartbeat every 150 ms.
    constexpr std::size_t Batches = 14;
    for (const std::string &keeper : keepers) {
        const std::size_t sent = cell.group.appendsSentTo(keeper) - before[keeper];
        const bool hasVote = keeper <= "k3";
        if (keeper != *leader)
            CHECK(sent <= (hasVote ? std::size_t(Jobs) + 2 : Batches + 2));
    }
    CHECK(cell.knows("e2", Jobs));
}

TEST_CASE("An isolated leader answers no reads once another leader may have decided")
{
    // Guards against two processes that act as leader at the same time around a hand-over. A
    // restarted voter has forgotten when it last heard from its leader.
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        Cell cell(3, seed);
        const std::optional<std::string> leader = cell.group.leader();
        REQUIRE(leader.has_value());
        std::vector<std::string> others = {"k1", "k2", "k3"};
        std::erase(others, *leader);
        cell.group.partition({{others[1]}});
        cell.group.advance(1000);
        cell.group.crash(others[0]);
        cell.group.partition({{*leader}});
        cell.group.restart(others[0]);
        const ExchangeId put = cell.group.call(others[1], makePut(5));
        for (int step = 0; step < 100 && !isDone(cell.group.answer(put)); ++step)
            cell.group.advance(10);
        if (!isDone(cell.group.answer(put)))
            continue;
        const ExchangeId get = cell.group.call(*leader, GetConfiguration{});
        CHECK(sourceOf(cell.group.answer(get)) != "version 1");
    }
}

namespace {

/** The reducer of an entry host; the test answers its messages. */
struct EntryHost
{
    explicit EntryHost(const std::string &session)
    {
        CellOptions options;
        options.directory.self = HostId("e1");
        options.directory.hosts.emplace(HostId("e1"),
                                        HostInfo{HostId("e1"), DataCentreId(), false});
        options.identity.session = SessionId(session);
        for (const char *seed : {"k1", "k2", "k3"})
            options.seeds.emplace_back(seed);
        root = std::make_unique<CellRoot>(std::move(options));
        reduce(PeerMessageReceived{HostId("k1"), LeaderReport{HostId("k1"), true, {}, {}}, 0});
    }

    Effects reduce(EventPayload payload)
    {
        return root->reduce({now, Milliseconds(0), std::move(payload)});
    }

    /** Counts the leader queries to each host within a period, in which \a answer is the only
     * reply. */
    std::map<std::string, int> countLeaderQueries(std::int64_t milliseconds,
                                                  const std::optional<LeaderReport> &answer)
    {
        std::map<std::string, int> asked;
        for (std::int64_t passed = 0; passed < milliseconds; passed += 50) {
            now = now + Milliseconds(50);
            for (const Effect &effect : reduce(Ticked{})) {
                const auto *message = std::get_if<SendToPeer>(&effect);
                if (message == nullptr || !std::holds_alternative<LeaderQuery>(message->message))
                    continue;
                ++asked[message->to.value()];
                if (answer.has_value() && message->to.value() != "k1")
                    reduce(PeerMessageReceived{message->to, *answer, 0});
            }
        }
        return asked;
    }

    Instant now{1'000'000};
    std::unique_ptr<CellRoot> root;
};

bool hasAnswer(const Effects &effects)
{
    return std::any_of(effects.begin(), effects.end(), [](const Effect &effect) {
        return std::holds_alternative<AnswerCall>(effect);
    });
}

} // namespace

TEST_CASE("An answer to a former process of a host is not delivered to another caller")
{
    // Guards against a mix-up after a restart, when the exchanges of a host are numbered anew.
    const ExchangeId exchange(1);
    EntryHost host("second");
    host.reduce(CellCallReceived{exchange, makeLook(7), Milliseconds(3000)});
    const RelayCallResponse former{exchange, JobStateReport{JobState::Completed},
                                   SessionId("first")};
    CHECK_FALSE(hasAnswer(host.reduce(PeerMessageReceived{HostId("k1"), former, 0})));
    const RelayCallResponse own{exchange, JobStateReport{JobState::Queued}, SessionId("second")};
    CHECK(hasAnswer(host.reduce(PeerMessageReceived{HostId("k1"), own, 0})));
}

TEST_CASE("Entry hosts query a follower about the leader, and the leader only if that fails")
{
    // Guards against overloading the leader with queries of a hundred entry hosts twice a second.
    EntryHost served("a");
    const LeaderReport witness{HostId("k1"), false, {}, Milliseconds(100)};
    const std::map<std::string, int> asked = served.countLeaderQueries(20'000, witness);
    CHECK((asked.contains("k1") ? asked.at("k1") : 0) <= 20'000 / 4000 + 1);
    served.reduce(CellCallReceived{ExchangeId(1), makeLook(7), Milliseconds(3000)});
    // A leader that its followers no longer hear from is not considered alive.
    EntryHost cut("b");
    cut.countLeaderQueries(1500, LeaderReport{HostId("k1"), false, {}, Milliseconds(5000)});
    CHECK(cut.countLeaderQueries(1000, std::nullopt)["k1"] > 1);
}

TEST_CASE("A former leader's late message does not divert calls from its successor")
{
    // Guards against a message of a stalled leader that arrives after that of the next leader.
    EntryHost host("a");
    const auto makeReport = [](const char *leader, std::uint64_t term) {
        return PeerMessageReceived{HostId(leader),
                                   LeaderReport{HostId(leader), true, {}, {}, Term(term)}, 0};
    };
    host.reduce(makeReport("k2", 5));
    host.reduce(makeReport("k1", 4));
    std::string asked;
    for (const Effect &effect :
         host.reduce(CellCallReceived{ExchangeId(1), makeLook(7), Milliseconds(3000)})) {
        if (const auto *message = std::get_if<SendToPeer>(&effect))
            asked = message->to.value();
    }
    CHECK(asked == "k2");
}
