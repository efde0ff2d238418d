#include "drivers/codec.h"

#include "core/peer_messages.h"

#include <catch2/catch.hpp>

using namespace gentiancross;

namespace {

template <typename T>
T throughText(const T &value)
{
    Json::Value json;
    T result;
    REQUIRE(codec::parseJson(codec::encode(value), json));
    REQUIRE(codec::decode(json, result));
    return result;
}

} // namespace

TEST_CASE("Messages come out of the codec as they went in")
{
    WorkSpec spec;
    spec.kind = WorkKind::Gang;
    spec.perTask.cores = MilliCores(250);
    spec.taskCount = 3;
    spec.selector = {{"zone", "a"}};
    spec.payload = Blob{std::string("\0\xff\xfe \"raw\" bytes\n", 16)};
    MirrorAppend message{
            DataCentreId("hobart"), Epoch(3), ReplicaId("h#d-1"), Instant(77), RecordSequence(9),
            std::nullopt,           {}};
    message.records.emplace_back(
            RequestAccepted{RequestId("hobart:t:x"), TeamId("t"), spec, Milliseconds(5)});
    message.piece = CopyPiece{DataCentreId("hobart"), Epoch(3), RecordSequence(8), 1, false, {}};
    const PeerMessage before = message;
    const PeerMessage after = throughText(before);
    CHECK(codec::encode(before) == codec::encode(after));
    const auto &record = std::get<RequestAccepted>(std::get<MirrorAppend>(after).records.front());
    CHECK(record.spec.payload == spec.payload);
    CHECK(record.spec.selector == spec.selector);
}

TEST_CASE("A snapshot of the agreed state survives the codec")
{
    SnapshotRecord snapshot{LogIndex(4), Term(2), Membership{{ReplicaId("a#d-1")}, {}}, {}};
    snapshot.state.teams[TeamId("t")].keys[KeyId("k")] = KeyHash("h");
    snapshot.state.operatorResults.remember(ProposalId("op:1"), ApplyResult{true}, 10);
    const SnapshotRecord after = throughText(snapshot);
    CHECK(after.membership == snapshot.membership);
    CHECK(after.state.teams.at(TeamId("t")).keys.at(KeyId("k")) == KeyHash("h"));
    CHECK(after.state.operatorResults.find(ProposalId("op:1"))->accepted);
}

TEST_CASE("An older, shorter message leaves newer fields at their defaults")
{
    Json::Value json;
    REQUIRE(codec::parseJson(R"(["a#d-1", 7])", json));
    VoteRequest request;
    REQUIRE(codec::decode(json, request));
    CHECK(request.term == Term(7));
    CHECK_FALSE(request.preVote);
}

TEST_CASE("An order between hosts that is cut short before its payload is refused, at any place")
{
    CallWorker call;
    call.order = OrderStart{{{JobId("a"), 0, 0}, 0},
                            RunNumber(1),
                            std::make_shared<const std::string>("payload"),
                            "checkpoint",
                            "ticket"};
    const OrderStart whole = std::get<OrderStart>(throughText(call).order);
    CHECK(*whole.payload == "payload");
    Json::Value json;
    REQUIRE(codec::parseJson(codec::encode(whole), json));
    for (Json::ArrayIndex size = 0; size < json.size(); ++size) {
        Json::Value cut = json;
        cut.resize(size);
        OrderStart decoded;
        const bool isTaken = codec::decode(cut, decoded);
        CHECK(isTaken == (size > 2));
        if (isTaken)
            CHECK(*decoded.payload == "payload");
    }
}

TEST_CASE("Wrong shapes are refused, whatever they are")
{
    const auto *const text
            = GENERATE("{}", "[1,2,3]", "[99,[]]", "[1,{}]", "[0,[1]]", "null", "[1]");
    Json::Value json;
    REQUIRE(codec::parseJson(text, json));
    PeerMessage message;
    CHECK_FALSE(codec::decode(json, message));
}

TEST_CASE("Text that is not one JSON value is refused")
{
    const std::string deep(5000, '[');
    const std::string text
            = GENERATE_COPY(std::string(), std::string("[1"), std::string("[1] 2"), deep);
    Json::Value json;
    CHECK_FALSE(codec::parseJson(text, json));
}

// Guards against an index of 2^32 that was taken for 0.
TEST_CASE("A number that does not fit its field is refused, not cut")
{
    Json::Value json;
    REQUIRE(codec::parseJson("[[\"j\",0,4294967296],4294967297]", json));
    JobTaskRef task;
    CHECK_FALSE(codec::decode(json, task));
    REQUIRE(codec::parseJson("[[\"j\",0,4294967295],1]", json));
    CHECK(codec::decode(json, task));
    CHECK(task.step.step == 4294967295U);
}
