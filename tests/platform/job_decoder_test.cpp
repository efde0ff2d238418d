#include "control/jobs/job_store.h"
#include "platform/job_decoder.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <string>

using namespace gentiancross;
using namespace gentiancross::platform;

namespace {

std::string makeBody(const std::string &payload, const std::string &steps)
{
    return absl::StrCat(R"({"spec":")", payload, R"(","steps":[)", steps, "]}");
}

std::string repeatSteps(std::size_t count)
{
    std::string steps = R"({"count":1})";
    for (std::size_t step = 1; step < count; ++step)
        steps += R"(,{"count":1})";
    return steps;
}

/** The reason why the body is refused; empty if it is not. */
std::string defectOf(const std::string &body)
{
    std::string defect;
    const bool isDecoded = decodeJob(body, defect).has_value();
    CHECK(isDecoded == defect.empty());
    return defect;
}

} // namespace

// Guards against a body of the legal size that takes a hundred times its memory when it is decoded.
TEST_CASE("A job with more steps than it may have tasks is refused before they are decoded")
{
    CHECK(defectOf(makeBody("x", repeatSteps(MaxTasksPerJob))).empty());
    CHECK(defectOf(makeBody("x", repeatSteps(MaxTasksPerJob + 1))).find("more than 20000 tasks")
          != std::string::npos);
}

TEST_CASE("A payload has at most 4,000 bytes")
{
    CHECK(defectOf(makeBody(std::string(MaxPayloadBytes, 'p'), "{}")).empty());
    CHECK(defectOf(makeBody(std::string(MaxPayloadBytes + 1, 'p'), "{}")).find("spec")
          != std::string::npos);
}

// Guards against a list of 100,000 numbers that is looked through at each start of a task.
TEST_CASE("Repeated numbers of earlier steps count once")
{
    std::string defect;
    const auto job = decodeJob(makeBody("x", R"({},{},{"after":[1,0,1,0,0,1]})"), defect);
    REQUIRE(job.has_value());
    CHECK(job->steps.at(2).after == std::vector<std::uint32_t>{0, 1});
}

TEST_CASE("Unknown members are skipped whatever they hold, if the text is well-formed")
{
    CHECK(defectOf(R"({"other":[{},[1,"a"],null],"steps":[{"new":{"a":[true]},"count":2}]})")
                  .empty());
    for (const char *bad :
         {R"({"steps":[{"new":{"a":[tru]}}]})", R"({"steps":[{"count":1}]} 1)",
          R"({"steps":[{"count":1})", R"({"steps":[{"count":1,"count":2}]})", R"({"steps":[],})",
          R"({"steps":[{"after":[1,]}]})", R"([{"steps":[]}])", R"({"steps":[{"after":7}]})",
          R"({"steps":[{"cpu":1.5}]})", "{\"spec\":\"\xff\",\"steps\":[]}"}) {
        CAPTURE(bad);
        CHECK_FALSE(defectOf(bad).empty());
    }
    CHECK_FALSE(defectOf(std::string(100'000, '[')).empty());
    CHECK_FALSE(defectOf(R"({"x":)" + std::string(100'000, '[') + "}").empty());
}
