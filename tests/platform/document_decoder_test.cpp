#include "drivers/codec.h"
#include "platform/document_decoder.h"
#include "platform/job_wire.h"

#include <catch2/catch.hpp>

using namespace gentiancross;
using namespace gentiancross::platform;

namespace {

constexpr int ManyRoutes = 11'000;

std::string makeRoute(int number, int timeout)
{
    const std::string digits = std::to_string(number);
    return R"({"name":"r-)" + digits + R"(","host":"h","path_prefix":"/p)" + digits
            + R"(/","timeout_ms":)" + std::to_string(timeout) + R"(,"service":"s"})";
}

/** A document whose route 0 has the timeout. */
std::string makeBody(int version, int routes, int timeout = 3000)
{
    std::string body
            = R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + makeRoute(0, timeout);
    for (int number = 1; number < routes; ++number)
        body += ", " + makeRoute(number, 3000);
    return body + R"(],"services":[{"name":"s"}],"tenants":[{"name":"t","api_keys":["k"]}]})";
}

void checkLikeWhole(DocumentDecoder &documents, const std::string &body)
{
    std::string defect;
    std::string expectedDefect;
    const SharedDocument document = documents.decode(body, defect);
    const std::optional<ConfigDocument> expected = decodeConfigDocument(body, expectedDefect);
    REQUIRE(document.has_value() == expected.has_value());
    CHECK(document.has_value() == defect.empty());
    if (document.has_value())
        CHECK(codec::encode(document) == codec::encode(expected));
}

} // namespace

// Guards against a keeper that runs out of memory by a document of 8 MiB, which takes 50 times its
// text when it is decoded as a tree.
TEST_CASE("A document of more values than any configuration has is refused before it is decoded")
{
    const auto isDecoded
            = [](const std::string &begin, const std::string &element, const std::string &end) {
                  std::string body = begin + element;
                  while (body.size() < 400'000)
                      body += ',' + element;
                  DocumentDecoder documents;
                  std::string defect;
                  const bool hasDocument = documents.decode(body + end, defect).has_value();
                  CHECK(hasDocument == defect.empty());
                  return hasDocument;
              };
    CHECK_FALSE(isDecoded(R"({"version":1,"services":[],"routes":[)", "0", "]}"));
    CHECK_FALSE(isDecoded(R"({"version":1,"services":[],"routes":[)", "{}", "]}"));
    CHECK_FALSE(isDecoded(R"({"version":1,"services":[],"routes":[],"other":[)", "0", "]}"));
    CHECK_FALSE(isDecoded(R"({"version":1,"services":[],"routes":[{"name":[)", "0", "]}]}"));
    CHECK(isDecoded(R"({"version":1,"services":[],"routes":[],"other":[)", R"("0,0,0,0")", "]}"));
}

TEST_CASE("Only the changed routes of a large configuration are decoded")
{
    // Guards against a keeper that is late with leases since each version of a configuration of
    // thousands of routes is decoded anew.
    DocumentDecoder documents;
    std::string defect;
    documents.decode(makeBody(1, ManyRoutes), defect);
    CHECK(documents.decodedRoutes() == ManyRoutes);
    const SharedDocument changed = documents.decode(makeBody(2, ManyRoutes + 2, 500), defect);
    REQUIRE(changed.has_value());
    CHECK(changed->version == DocumentVersion(2));
    CHECK(changed->queues.size() == ManyRoutes + 2);
    CHECK(changed->queues.front().timeout == Milliseconds(500));
    CHECK(documents.decodedRoutes() == ManyRoutes + 3);
    CHECK(documents.decode(makeBody(2, ManyRoutes + 2, 500), defect).isSame(changed));
    CHECK(documents.decode(makeBody(3, 10), defect)->queues.size() == 10);
    CHECK(documents.decodedRoutes() == ManyRoutes + 4);
    CHECK(defect.empty());
}

TEST_CASE("A document is decoded to the same whatever was decoded before")
{
    DocumentDecoder documents;
    for (const int routes : {3, 5, 1, 5})
        checkLikeWhole(documents, makeBody(routes, routes, 100 * routes));
    const std::string body = makeBody(9, 3);
    for (std::size_t size = 0; size <= body.size(); ++size) {
        checkLikeWhole(documents, body.substr(0, size));
        for (const char put : {'"', ',', '{', ']', ':', '\\', '0'}) {
            std::string changed = body;
            changed[std::min(size, body.size() - 1)] = put;
            checkLikeWhole(documents, changed);
        }
    }
    for (const char *odd : {"", "[]", "{}", R"({"routes":[]})", R"({"version":1,"routes":{}})",
                            R"({"version":1,"services":[]})",
                            R"({"version":1,"routes":[],"routes":[],"services":[]})",
                            R"({"version":1,"routes":[1],"services":[]})",
                            R"({"version":1,"routes":[{}],"services":[]})",
                            R"({"version":1,"routes":[],"services":[]} x)"})
        checkLikeWhole(documents, odd);
}
