#include "drivers/json_value_count.h"

#include <catch2/catch.hpp>

#include <string>

using namespace gentiancross;

TEST_CASE("All values of a text are counted, and nothing within strings")
{
    CHECK(countJsonValues("7") >= 1);
    CHECK(countJsonValues("[0,0,0]") >= 4);
    CHECK(countJsonValues(R"({"a":{},"b":[]})") >= 3);
    CHECK(countJsonValues(R"("a,b,[{,\",,\\")") == 1);
    CHECK(countJsonValues(std::string(1000, '[')) >= 1000);
    CHECK(countJsonValues(R"("never ended\)") == 1);
}
