#include "control/jobs/queue_index.h"

#include <catch2/catch.hpp>

#include <random>

using namespace gentiancross;

namespace {

/** Few different letters, so that prefixes often match. */
std::string randomPath(std::minstd_rand &random)
{
    std::string path = "/";
    for (auto length = random() % 6; length > 0; --length)
        path += random() % 2 == 0 ? "a" : "/";
    return path;
}

} // namespace

TEST_CASE("The index finds the same queue as a look at each queue")
{
    std::minstd_rand random(1);
    for (int round = 0; round < 200; ++round) {
        ConfigDocument document;
        for (std::uint64_t number = random() % 12; number > 0; --number) {
            QueueConfig queue;
            queue.queue = QueueId(std::to_string(number));
            queue.host = random() % 2 == 0 ? "h" : "other";
            queue.pathPrefix = randomPath(random);
            document.queues.push_back(queue);
        }
        const SharedDocument shared(document);
        QueueIndex index;
        index.update(shared);
        for (int look = 0; look < 20; ++look) {
            const std::string path = randomPath(random);
            const std::optional<QueueMatch> found = index.find("h", path);
            const std::optional<QueueMatch> expected = configrules::findQueue(*shared, "h", path);
            REQUIRE(found.has_value() == expected.has_value());
            if (found.has_value()) {
                CHECK(found->queue == expected->queue);
                CHECK(found->rest == expected->rest);
            }
        }
    }
}

TEST_CASE("The index follows the document")
{
    QueueIndex index;
    CHECK_FALSE(index.find("h", "/a").has_value());
    ConfigDocument document;
    document.queues.emplace_back();
    document.queues[0].host = "h";
    document.queues[0].pathPrefix = "/a";
    index.update(document);
    CHECK(index.find("h", "/ab")->rest == "b");
    document.queues[0].pathPrefix = "/b";
    index.update(document);
    CHECK_FALSE(index.find("h", "/ab").has_value());
    index.update({});
    CHECK_FALSE(index.find("h", "/b").has_value());
}
