#include "main/serve_settings.h"

#include "core/error.h"

#include <catch2/catch.hpp>

#include <cstdlib>

using namespace gentiancross;

namespace {

std::vector<std::string> words(const std::string &changed = {}, const std::string &value = {})
{
    std::vector<std::pair<std::string, std::string>> flags = {
            {"--host", "a"},
            {"--hosts", "a=hobart,127.0.0.1:7100,disk;b=bruny,127.0.0.2:7100"},
            {"--initial-voters", "a"},
            {"--listen", "127.0.0.1:7000"},
            {"--peer-listen", "127.0.0.1:7100"},
            {"--data-folder", "/nowhere"},
    };
    std::vector<std::string> words = {"serve"};
    for (auto &[flag, text] : flags) {
        words.push_back(flag);
        words.push_back(flag == changed ? value : text);
    }
    return words;
}

void setSecrets()
{
    ::setenv("GENTIANCROSS_FLEET_SECRET", "long-enough", 1);
    ::setenv("GENTIANCROSS_OPERATOR_KEY", "long-enough", 1);
}

} // namespace

TEST_CASE("Valid settings are read, and their description contains no secret")
{
    setSecrets();
    const auto settings = readServeSettings(words());
    REQUIRE(settings.ok());
    CHECK(settings->directory.own().hasStore);
    CHECK(settings->peers.addresses.at(HostId("b")) == "127.0.0.2:7100");
    CHECK(settings->describe().find("long-enough") == std::string::npos);
    CHECK(settings->describe().find("host: a\n") != std::string::npos);
}

TEST_CASE("With --json, settings are described in JSON and the log is JSON")
{
    setSecrets();
    std::vector<std::string> asked = words();
    asked.emplace_back("--json");
    const auto settings = readServeSettings(asked);
    REQUIRE(settings.ok());
    CHECK(settings->logFormat == LogFormat::Json);
    CHECK(settings->describe().starts_with("{"));
}

TEST_CASE("Each invalid setting is reported on one line with its step")
{
    setSecrets();
    using Case = std::pair<std::string, std::string>;
    const Case wrong = GENERATE(Case("--host", "a b"), Case("--host", "zz"), Case("--hosts", "a"),
                                Case("--initial-voters", "b"), Case("--initial-voters", ""),
                                Case("--listen", "localhost:1"),
                                Case("--listen", "127.0.0.1:99999"), Case("--data-folder", ""));
    const auto settings = readServeSettings(words(wrong.first, wrong.second));
    REQUIRE_FALSE(settings.ok());
    CHECK(errorStep(settings.status()) == "settings");
    CHECK(std::string(settings.status().message()).find('\n') == std::string::npos);
}

TEST_CASE("An environment variable replaces a missing flag, and a flag overrides the variable")
{
    setSecrets();
    ::setenv("GENTIANCROSS_KEY_GRACE_MS", "7000", 1);
    CHECK(readServeSettings(words())->keyGrace == Milliseconds(7000));
    std::vector<std::string> both = words();
    both.insert(both.end(), {"--key-grace-ms", "9000"});
    CHECK(readServeSettings(both)->keyGrace == Milliseconds(9000));
    ::unsetenv("GENTIANCROSS_KEY_GRACE_MS");
}
