#include "main/evacuation_command.h"

#include <catch2/catch.hpp>

using namespace gentiancross;

TEST_CASE("The evacuation verb sends nothing if its words are invalid")
{
    EvacuationCommand command;
    for (const std::vector<std::string> &words :
         std::vector<std::vector<std::string>>{{"evacuation"},
                                               {"evacuation", "stop", "hobart"},
                                               {"evacuation", "begin"},
                                               {"evacuation", "finish", "a/b"},
                                               {"evacuation", "begin", "hobart", "launceston"}})
        CHECK(command.run(words) == ExitCode::BadSettings);
    // Nobody listens on this port.
    CHECK(command.run({"evacuation", "--keeper", "127.0.0.1:9", "list"}) == ExitCode::Refused);
}
