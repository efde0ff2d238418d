#include "control/jobs/config_rules.h"

#include <catch2/catch.hpp>

using namespace gentiancross;

namespace {

ConfigDocument makeDocument()
{
    ConfigDocument document;
    QueueConfig queue;
    queue.queue = QueueId("outer");
    queue.host = "h";
    queue.pathPrefix = "/a/";
    queue.timeout = Milliseconds(1);
    queue.pool = PoolId("p");
    document.queues.push_back(queue);
    queue.queue = QueueId("inner");
    queue.pathPrefix = "/a/b/";
    document.queues.push_back(queue);
    document.pools.push_back({PoolId("p"), false});
    document.teams.push_back({TeamId("t"), {ApiKey("k"), ApiKey("k")}, 1, {}});
    return document;
}

} // namespace

TEST_CASE("The longest prefix finds the queue")
{
    const ConfigDocument document = makeDocument();
    CHECK(configrules::findQueue(document, "h", "/a/b/x")->queue->queue == QueueId("inner"));
    CHECK(configrules::findQueue(document, "h", "/a/b/x")->rest == "x");
    CHECK(configrules::findQueue(document, "h", "/a/x")->queue->queue == QueueId("outer"));
    CHECK_FALSE(configrules::findQueue(document, "other", "/a/x").has_value());
    CHECK_FALSE(configrules::findQueue(document, "h", "/b/").has_value());
}

TEST_CASE("What makes a configuration invalid is found and named")
{
    CHECK_FALSE(configrules::findDefect(makeDocument()).has_value());
    ConfigDocument document = makeDocument();
    document.pools.clear();
    CHECK(configrules::findDefect(document).has_value());
    document = makeDocument();
    document.queues[1].pathPrefix = "/a/";
    CHECK(configrules::findDefect(document).has_value());
    document = makeDocument();
    document.queues[1].timeout = Milliseconds(0);
    CHECK(configrules::findDefect(document).has_value());
    document = makeDocument();
    document.teams.push_back({TeamId("u"), {ApiKey("k")}, 1, {}});
    CHECK(configrules::findDefect(document).has_value());
}

TEST_CASE("A key belongs to its team")
{
    const ConfigDocument document = makeDocument();
    CHECK(configrules::findTeam(document, ApiKey("k"))->team == TeamId("t"));
    CHECK(configrules::findTeam(document, ApiKey("x")) == nullptr);
}
