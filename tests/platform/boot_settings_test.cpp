#include "platform/boot_settings.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

using namespace gentiancross;
using namespace gentiancross::platform;

namespace {

absl::StatusOr<BootSettings> decodeWithLimits(const std::string &limits)
{
    return decodeBootSettings(absl::StrCat(
            R"({"node":"n","ip":"127.0.0.1","port_range":[1,2],"limits":)", limits, "}"));
}

} // namespace

TEST_CASE("Connection limits follow the machine's memory and descriptors")
{
    const absl::StatusOr<BootSettings> settings
            = decodeWithLimits(R"({"memory_mb":160,"max_fds":1000})");
    REQUIRE(settings.ok());
    CHECK(settings->connections.bytes == 40 << 20);
    CHECK(settings->connections.connections == 750);
    CHECK(settings->decodedCalls == toBytes(Mebibytes(160)) / 12);
    const absl::StatusOr<BootSettings> without = decodeWithLimits("null");
    REQUIRE(without.ok());
    CHECK(without->connections.bytes == deriveConnectionLimits().bytes);
}

TEST_CASE("Each connection limit can be set")
{
    const absl::StatusOr<BootSettings> settings = decodeWithLimits(
            R"({"exchange_mb":9,"connections":8,"connections_per_client":7,"request_ms":6000,)"
            R"("caller_body_bytes":5})");
    REQUIRE(settings.ok());
    CHECK(settings->connections.bytes == 9 << 20);
    CHECK(settings->connections.connections == 8);
    CHECK(settings->connections.connectionsPerClient == 7);
    CHECK(settings->connections.requestTime == Milliseconds(6000));
    CHECK(settings->callerBodyBytes == 5);
    const absl::StatusOr<BootSettings> memory
            = decodeWithLimits(R"({"undecided_mb":4,"jobs_mb":6})");
    REQUIRE(memory.ok());
    CHECK(memory->decodedCalls == toBytes(Mebibytes(4)));
    CHECK(memory->memory.storedWork == toBytes(Mebibytes(6)));
}

TEST_CASE("The error for an invalid connection limit names the field")
{
    for (const std::string field :
         {"memory_mb", "max_fds", "exchange_mb", "connections", "connections_per_client",
          "request_ms", "caller_body_bytes", "undecided_mb", "jobs_mb"}) {
        for (const std::string value : {"0", "-1", "1e300", "\"9\"", "null", "[]"}) {
            const absl::StatusOr<BootSettings> settings
                    = decodeWithLimits(absl::StrCat("{\"", field, "\":", value, "}"));
            REQUIRE_FALSE(settings.ok());
            CHECK(settings.status().message().find(field) != std::string::npos);
        }
    }
    CHECK_FALSE(decodeWithLimits("7").ok());
}
