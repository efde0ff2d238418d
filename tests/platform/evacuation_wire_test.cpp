#include "platform/boot_settings.h"
#include "platform/call_wire.h"

#include <catch2/catch.hpp>

using namespace gentiancross;
using namespace gentiancross::platform;

namespace {

DecodedCall decode(const std::string &method, const std::string &path)
{
    HttpRequest request;
    request.method = method;
    request.path = path;
    return decodeControlCall(request);
}

int statusOf(const std::string &method, const std::string &path)
{
    return encodeAnswer(std::get<CallRefused>(decode(method, path).call)).status;
}

} // namespace

TEST_CASE("Orders to evacuate are decoded, and malformed paths are refused with a reason")
{
    const DecodedCall begin = decode("POST", "/evacuations/hobart/begin");
    CHECK(std::get<BeginEvacuation>(std::get<CellCall>(begin.call)).dataCentre.value() == "hobart");
    const DecodedCall finish = decode("POST", "/evacuations/hobart/finish");
    CHECK(std::get<EndEvacuation>(std::get<CellCall>(finish.call)).dataCentre.value() == "hobart");
    CHECK(std::holds_alternative<ListEvacuations>(
            std::get<CellCall>(decode("GET", "/evacuations").call)));
    for (const char *path :
         {"/evacuations", "/evacuations/", "/evacuations/hobart", "/evacuations//begin",
          "/evacuations/hobart/stop", "/evacuations/hobart/begin/now", "/evacuations/a b/begin"}) {
        CHECK(statusOf("POST", path) == 400);
        CHECK(std::get<CallRefused>(decode("POST", path).call).reason.starts_with("evacuation: "));
    }
    CHECK(statusOf("POST", "/evacuations/" + std::string(200, 'x') + "/begin") == 400);
    for (const char *method : {"GET", "PUT", "DELETE"})
        CHECK(statusOf(method, "/evacuations/hobart/begin") == 404);
    CHECK(encodeAnswer(CallRefused{Refusal::NoSuchDataCentre, "r", {}}).status == 404);
}

TEST_CASE("The list of evacuations says why nothing is started")
{
    EvacuationList list{{{DataCentreId("hobart"), 3, 7}}, 2};
    CHECK(*encodeAnswer(list).body
          == R"({"evacuations":[{"data_centre":"hobart","runs":7,"workers":3}],)"
             R"("workers_elsewhere":2})");
    list.workersElsewhere = 0;
    CHECK(encodeAnswer(list).body->find("\"waiting\"") != std::string::npos);
}

TEST_CASE("The settings file names the cell's data centres")
{
    const std::string start = R"({"node":"n","ip":"10.0.0.1","port_range":[1,9],"zones":)";
    CHECK(decodeBootSettings(start + R"({"b":"r","a":"r"}})")->dataCentres
          == std::vector<std::string>{"a", "b"});
    const auto refused = decodeBootSettings(start + "7}");
    REQUIRE_FALSE(refused.ok());
    CHECK(refused.status().message().find("zones") != std::string::npos);
}
