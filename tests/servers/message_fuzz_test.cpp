#include "drivers/codec.h"
#include "drivers/connection_limits.h"
#include "drivers/rpc/rpc_envelope.h"
#include "servers/peer_link.h"
#include "servers/request_decoder.h"
#include "tests/control/solo_host.h"
#include "tests/servers/message_mutator.h"

#include <catch2/catch.hpp>

#include <absl/strings/str_cat.h>
#include <log4cplus/appender.h>
#include <log4cplus/helpers/pointer.h>
#include <log4cplus/logger.h>

#include <array>

using namespace gentiancross;
using namespace gentiancross::tests;

namespace {

/** Records the posted events. */
struct RecordedEvents final : EventSink
{
    void post(EventPayload payload) override { events.push_back(std::move(payload)); }
    std::vector<EventPayload> events;
};

/** Counts log lines. */
class LogLineCounter final : public log4cplus::Appender
{
public:
    ~LogLineCounter() override { destructorImpl(); }
    void close() override {}
    [[nodiscard]] int lines() const { return m_lines; }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &) override { ++m_lines; }

private:
    int m_lines = 0;
};

/** Runs one entry host and feeds it malformed messages from callers, workers and another host. */
class EntryHostFuzzer
{
public:
    EntryHostFuzzer(std::uint64_t seed, const LogLineCounter &lines)
        : m_mutator(seed)
        , m_lines(lines)
    {
        m_host.prepare();
        m_host.submit("first", true);
        m_host.run(4);
    }

    void run(int rounds)
    {
        for (int round = 0; round < rounds; ++round) {
            collectValidMessages();
            sendRequest();
            if (!m_valid.empty())
                deliverMutated(m_valid.at(m_mutator.below(m_valid.size())));
            if (m_mutator.below(4) == 0)
                m_host.run(2);
        }
    }

    [[nodiscard]] int accepted() const { return m_accepted; }
    [[nodiscard]] int refused() const { return m_refused; }
    /** The number of malformed messages that were not logged. */
    [[nodiscard]] int unlogged() const { return m_unlogged; }

private:
    /** Collects the messages that the host itself has sent, and samples of other types, as valid
     * messages to mutate. */
    void collectValidMessages()
    {
        constexpr std::size_t MaxMessages = 60;
        for (const Effect &effect : m_host.effects()) {
            const auto *sent = std::get_if<SendToPeer>(&effect);
            if (sent != nullptr)
                m_valid.push_back(codec::encode(sent->message));
        }
        m_host.clearEffects();
        m_valid.push_back(codec::encode(PeerMessage(MirrorReply{
                DataCentreId("hobart"), Epoch(1), makeReplica(HostId("mirror"), false, "1"),
                Instant(1'000'000), RecordSequence(4), true, false})));
        m_valid.push_back(codec::encode(PeerMessage(HandOver{DataCentreId("hobart"), Epoch(1)})));
        m_valid.push_back(codec::encode(PeerMessage(LedgerQuery{7, HalfHour(1)})));
        m_valid.push_back(codec::encode(PeerMessage(Propose{
                ProposalId("p"),
                ReplicatedCommand(PutTeam{TeamId("u"), ObjectVersion(), 1, MilliCores(1)})})));
        m_valid.push_back(codec::encode(PeerMessage(MirrorAppend{
                DataCentreId("perth"),
                Epoch(1),
                makeReplica(HostId("mirror"), false, "1"),
                Instant(1),
                RecordSequence(0),
                CopyPiece{DataCentreId("perth"),
                          Epoch(1),
                          RecordSequence(0),
                          0,
                          true,
                          {RequestAccepted{RequestId("perth:t:a"), TeamId("t"), {}, {}}}},
                {RequestAccepted{RequestId("perth:t:b"), TeamId("t"), {}, {}},
                 TaskStarting{RequestId("perth:t:b"), 0, 1, WorkerId("w"), {}, {}},
                 TaskEnded{RequestId("perth:t:b"), 0, 1, true, true}},
                "10.0.0.1:1"})));
        m_valid.push_back(codec::encode(PeerMessage(VoteRequest{
                makeReplica(HostId("mirror"), true, "1"), Term(2), LogIndex(9), Term(2), true})));
        m_valid.push_back(codec::encode(PeerMessage(
                AppendReply{makeReplica(HostId("mirror"), true, "1"), Term(2), true, LogIndex(3),
                            LogIndex(3), Instant(1'000'000), Instant(5)})));
        if (m_valid.size() > MaxMessages)
            m_valid.erase(m_valid.begin(), m_valid.end() - MaxMessages);
    }

    void deliverMutated(const std::string &message)
    {
        const std::string batch = absl::StrCat("[\"mirror\",[1,", message, "]]");
        const bool isInside = m_mutator.below(2) == 0;
        Json::Value json;
        codec::parseJson(message, json);
        const std::string sent = isInside
                ? absl::StrCat("[\"mirror\",[1,",
                               codec::formatJson(m_mutator.mutateTree(std::move(json))), "]]")
                : m_mutator.mutate(batch);
        std::string call = rpcenvelope::wrap("deliver", sent);
        if (m_mutator.below(8) == 0)
            call = m_mutator.mutate(call);
        const int before = m_lines.lines();
        const std::string answer = m_link.dispatch(call);
        if (m_events.events.empty() && answer.empty() && batch != sent)
            m_unlogged += m_lines.lines() == before ? 1 : 0;
        feedEvents();
    }

    void sendRequest()
    {
        static const std::array<std::array<std::string, 3>, 8> requests = {
                {{"POST", "/v1/requests",
                  R"({"kind":"short","payload":"x","resources":)"
                  R"({"millicores":100,"memory_mib":5},"deadline_ms":900,)"
                  R"("tasks":1,"selector":{"a":"b"},"run_ms":7})"},
                 {"POST", "/v1/announcements",
                  R"({"worker":"w","address":"http://10.0.0.1:80","data_centre":"hobart","rack":"r",)"
                  R"("capacity":{"millicores":1000,"memory_mib":1000,"slots":4},"labels":{"a":"b"},)"
                  R"("session":"w1","now_ms":5000000,"epoch":1,"leaving":false,"running":)"
                  R"([{"task":"hobart:t:first/0/1","team":"t","reserved":{"millicores":1}}],)"
                  R"("finished":[{"task":"hobart:t:first/0/1","succeeded":true,"ran_ms":4}]})"},
                 {"PUT", "/v1/teams/t",
                  R"({"expected_version":1,"weight":2,"limit_millicores":9})"},
                 {"PUT", "/v1/teams/t/keys/k2", R"({"secret":"s"})"},
                 {"PUT", "/v1/members", R"({"voters":["solo"]})"},
                 {"PUT", "/v1/wait-limits/batch", R"({"team":"t","urgent":true,"limit_ms":1000})"},
                 {"GET", "/v1/report", ""},
                 {"DELETE", "/v1/requests/hobart:t:first", ""}}};
        const auto &[method, path, body] = requests.at(m_mutator.below(requests.size()));
        HttpRequest request;
        request.method = method;
        request.path = m_mutator.below(6) == 0 ? m_mutator.mutate(path) : path;
        request.body = m_mutator.mutate(body);
        request.headers["authorization"] = m_mutator.below(6) == 0 ? "" : "Bearer operator";
        request.headers[IdempotencyHeader] = m_mutator.mutate("hobart/a");
        request.headers[RemainingTimeHeader] = m_mutator.mutate("500");
        request.query = {{"day", m_mutator.mutate("2026-12-04")},
                         {"utc_offset_minutes", m_mutator.mutate("600")},
                         {"format", "json"}};
        const RequestOrigin origin{ExchangeId(1'000'000 + m_mutator.below(1000)),
                                   m_mutator.below(2) == 0, "fleet"};
        const absl::StatusOr<EventPayload> event = decodeRequest(request, origin);
        if (!event.ok()) {
            CHECK_FALSE(event.status().message().empty());
            ++m_refused;
            return;
        }
        m_events.events.push_back(withKnownKey(*event));
        feedEvents();
    }

    /** Returns the event with the key of the operator or the team of the host under test. */
    static EventPayload withKnownKey(EventPayload event)
    {
        if (auto *change = std::get_if<OperatorChangeReceived>(&event))
            change->caller.key = KeyHash("operator");
        if (auto *page = std::get_if<DailyReportRequested>(&event))
            page->caller.key = KeyHash("operator");
        if (auto *submit = std::get_if<SubmitReceived>(&event))
            submit->caller.key = KeyHash("k");
        if (auto *cancel = std::get_if<CancelReceived>(&event))
            cancel->caller.key = KeyHash("k");
        return event;
    }

    void feedEvents()
    {
        for (EventPayload &event : std::exchange(m_events.events, {})) {
            ++m_accepted;
            m_host.feed(std::move(event));
        }
    }

    MessageMutator m_mutator;
    SoloHost m_host{Companion::Mirror};
    RecordedEvents m_events;
    ByteBudget m_decodedCalls{deriveDecodedCallBytes()};
    PeerLink m_link{{HostId("solo"), {}, "", false}, m_events, m_decodedCalls};
    std::vector<std::string> m_valid;
    int m_accepted = 0;
    int m_refused = 0;
    int m_unlogged = 0;
    const LogLineCounter &m_lines;
};

void runFuzzers(std::uint64_t seeds, int rounds)
{
    const log4cplus::helpers::SharedObjectPtr<LogLineCounter> lines(new LogLineCounter);
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.addAppender(log4cplus::SharedAppenderPtr(lines.get()));
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        INFO("seed " << seed);
        EntryHostFuzzer fuzzer(seed, *lines);
        REQUIRE_NOTHROW(fuzzer.run(rounds));
        CHECK(fuzzer.accepted() > 0);
        CHECK(fuzzer.refused() > 0);
        CHECK(fuzzer.unlogged() == 0);
    }
    root.removeAppender(log4cplus::SharedAppenderPtr(lines.get()));
}

} // namespace

// Guards against a malformed message or request that crashes an entry host.
TEST_CASE("Malformed messages of callers, workers and hosts crash no entry host, and are logged")
{
    runFuzzers(30, 150);
}

TEST_CASE("Malformed messages crash no entry host: many seeds", "[.fuzz]")
{
    runFuzzers(3000, 300);
}
