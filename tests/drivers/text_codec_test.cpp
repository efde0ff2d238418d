#include "drivers/text_codec.h"

#include "core/peer_messages.h"

#include <catch2/catch.hpp>

#include <random>

using namespace gentiancross;

namespace {

/** Decodes by way of a tree of JSON values. */
template <typename T>
bool decodeTree(const std::string &text, T &value)
{
    Json::Value json;
    return codec::parseJson(text, json) && codec::decode(json, value);
}

ConfigDocument makeDocument()
{
    ConfigDocument document;
    document.version = DocumentVersion(7);
    document.source = "{\"a\":\"\\u00e9\\\\\",\n\t\"\x01\xc3\xa9\"}";
    QueueConfig queue;
    queue.queue = QueueId("checks");
    queue.priority = -1;
    queue.isPublic = true;
    document.queues = {queue, queue};
    document.queues[1].advice = AdviceTerms{1, 2, Milliseconds(3)};
    document.teams = {{TeamId("t"), {ApiKey("k"), ApiKey("l")}, 1, {}}};
    return document;
}

std::vector<PeerMessage> makeMessages()
{
    AppendRequest append;
    append.leader = ReplicaId("h#d-1");
    append.sentAt = Instant(5);
    append.entries.push_back(std::make_shared<const LogEntry>(
            LogEntry{LogIndex(3), Term(2), ProposalId(),
                     ReplicatedCommand(JobChanges{{DocumentAccepted{makeDocument()},
                                                   JobsForgotten{{JobId("a"), JobId("b")}}}})}));
    InstallSnapshot install;
    install.snapshot.membership.voters = {ReplicaId("a"), ReplicaId("b")};
    install.snapshot.state.teams[TeamId("t")].keys[KeyId("k")] = KeyHash("h");
    install.snapshot.state.jobs.document = makeDocument();
    MirrorAppend mirror;
    RequestAccepted accepted;
    accepted.spec.payload = Blob{std::string("\0\xff\"", 3)};
    mirror.records.emplace_back(accepted);
    return {append, install, mirror};
}

} // namespace

TEST_CASE("Messages are unchanged by encoding and decoding from text")
{
    for (const PeerMessage &message : makeMessages()) {
        const std::string text = codec::encode(message);
        PeerMessage decoded;
        REQUIRE(codec::decodeText(text, decoded));
        CHECK(codec::encode(decoded) == text);
        for (std::size_t size = 0; size < text.size(); ++size) {
            PeerMessage cut;
            CHECK_FALSE(codec::decodeText(text.substr(0, size), cut));
        }
    }
}

TEST_CASE("A damaged text is decoded to the same with and without a tree")
{
    const std::string characters = "[]{},:\"\\0123456789-+.eEtrufalsn /\n\x01\xff";
    std::minstd_rand random(1);
    for (const PeerMessage &message : makeMessages()) {
        const std::string whole = codec::encode(message);
        for (int round = 0; round < 5000; ++round) {
            std::string text = whole;
            for (auto changes = 1 + random() % 3; changes > 0; --changes)
                text[random() % text.size()] = characters[random() % characters.size()];
            PeerMessage fromText;
            PeerMessage fromTree;
            if (!codec::decodeText(text, fromText))
                continue;
            INFO(text);
            REQUIRE(decodeTree(text, fromTree));
            CHECK(codec::encode(fromText) == codec::encode(fromTree));
        }
    }
}

TEST_CASE("Missing fields keep their defaults and additional ones are skipped")
{
    VoteRequest request;
    REQUIRE(codec::decodeText(R"( [ "a#d-1" , 7 ] )", request));
    CHECK(request.term == Term(7));
    CHECK_FALSE(request.preVote);
    REQUIRE(codec::decodeText(R"(["a",7,1,1,true,{"x":[1.5e3,null,"\""]},false])", request));
    CHECK(request.preVote);
    CHECK_FALSE(codec::decodeText(R"(["a",7] ])", request));
    CHECK_FALSE(codec::decodeText(R"(["a",7,])", request));
    CHECK_FALSE(codec::decodeText(R"(["a",-7])", request));
    CHECK_FALSE(codec::decodeText(R"(["a",18446744073709551616])", request));
    JobTaskRef task;
    CHECK_FALSE(codec::decodeText(R"([["j",0,4294967296],1])", task));
    OrderStart start;
    CHECK_FALSE(codec::decodeText(R"([[["j",0,0],1],2])", start));
}

TEST_CASE("Texts nested too deeply are refused")
{
    // Guards against a stack overflow by a message of another writer.
    JsonCursor cursor(std::string_view{});
    CHECK_FALSE(cursor.skipValue());
    const std::string deep(100'000, '[');
    VoteRequest request;
    CHECK_FALSE(codec::decodeText("[\"a\",7,1,1,true," + deep, request));
}

TEST_CASE("Records of configurations as former builds wrote them are decoded")
{
    JobRecord record;
    REQUIRE(codec::decodeText(
            R"([0,[[7,[["q","h","/p/",3000,100,0,"s",3,1500,null,false]],[["s",false]],)"
            R"([["t",["k"],1,[0,0,0,0]]],"seven"]]])",
            record));
    const auto &accepted = std::get<DocumentAccepted>(record);
    CHECK(accepted.document->version == DocumentVersion(7));
    CHECK(accepted.document->queues.at(0).queue == QueueId("q"));
    CHECK(accepted.document->teams.at(0).keys.at(0) == ApiKey("k"));
    CHECK(accepted.document->source == "seven");
    JobStoreData data;
    REQUIRE(codec::decodeText("[null,[],[],[]]", data));
    CHECK_FALSE(data.document.has_value());
    REQUIRE(codec::decodeText(R"([[7,[],[],[],"seven"],[],[],[]])", data));
    CHECK(data.document->source == "seven");
}

TEST_CASE("Texts that are no UTF-8 are decoded as they were written")
{
    // Guards against a journal that can't be read again since a caller's string had such bytes.
    for (const char *bytes : {"\xff", "a\x80z", "\xed\xa0\x80", "\xc3", "\x7f", "\x1f\xc0\x80"}) {
        RequestAccepted accepted;
        accepted.spec.selector["zone"] = bytes;
        MirrorAppend append;
        append.records.emplace_back(accepted);
        const std::string text = codec::encode(PeerMessage(append));
        PeerMessage decoded;
        REQUIRE(codec::decodeText(text, decoded));
        CHECK(codec::encode(decoded) == text);
        CHECK_FALSE(codec::decodeText(text + ']', decoded));
        CHECK_FALSE(codec::decodeText(text.substr(0, text.size() - 1), decoded));
    }
}

TEST_CASE("Additional fields are skipped only if they are well-formed")
{
    VoteRequest request;
    for (const char *extra : {"1", "-0.5e-3", "[]", "{}", "[[],{}]", R"({"a":[true,"\u00e9"]})"})
        CHECK(codec::decodeText(std::string(R"(["a",7,1,1,true,)") + extra + "]", request));
    for (const char *extra : {"[1 2]", "[1,]", "{1:2}", R"({"a" 1})", R"({"a":1,})", "tru", "nul",
                              "01", "1.", "--1", R"("\x")", "[1}", R"({"a":1])", "", "1,"})
        CHECK_FALSE(codec::decodeText(std::string(R"(["a",7,1,1,true,)") + extra + "]", request));
}
