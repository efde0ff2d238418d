#include "main/flat_text.h"
#include "main/timeline_picture.h"

#include <catch2/catch.hpp>

using namespace gentiancross;

namespace {

Json::Value step(int order, const std::string &host, const std::string &subject)
{
    Json::Value json;
    json["order"] = order;
    json["host"] = host;
    json["subject"] = subject;
    json["what"] = "did <this>";
    return json;
}

std::size_t countOf(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++count;
    return count;
}

} // namespace

TEST_CASE("A picture has each step once, and a line from step to step of one subject")
{
    const std::string svg = drawTimeline(
            {step(1, "a", "x"), step(2, "b", "x"), step(3, "a", "y"), step(4, "a", "x")});
    CHECK(countOf(svg, "<circle") == 4);
    CHECK(countOf(svg, "stroke=\"#2f6fb0\"") == 2);
    CHECK(countOf(svg, "did &lt;this&gt;") == 4);
}

TEST_CASE("Nested values are told one a line")
{
    Json::Value json;
    json["a"]["b"] = 1;
    json["c"].append("x");
    CHECK(flattenToText(json) == "a.b: 1\nc[0]: x\n");
}
