#include "core/shared_value.h"

#include "core/peer_messages.h"
#include "drivers/codec.h"

#include <catch2/catch.hpp>

using namespace gentiancross;

TEST_CASE("A shared value is encoded once for all its receivers")
{
    // Guards against a leader that is late with leases since it encodes each configuration of
    // thousands of routes for its journal and for each keeper.
    const SharedValue<int> value(7);
    SharedValue<int> copy;
    copy = value;
    int encoded = 0;
    const auto encode = [&encoded](int number) {
        ++encoded;
        return std::to_string(number);
    };
    CHECK(*value.textBy(encode) == "7");
    CHECK(*copy.textBy(encode) == "7");
    CHECK(encoded == 1);
    const std::shared_ptr<const std::string> kept = copy.textBy(encode);
    value.forgetText();
    CHECK(*kept == "7");
    CHECK(*copy.textBy(encode) == "7");
    CHECK(*copy.textBy(encode) == "7");
    CHECK(encoded == 3);
}

TEST_CASE("Records that share a configuration share its text")
{
    const SharedDocument document(ConfigDocument{});
    const std::string first = codec::encode(DocumentAccepted{document});
    const std::string second = codec::encode(DocumentAccepted{document});
    CHECK(first == second);
    const auto none = [](const ConfigDocument &) { return std::string(); };
    CHECK(first == '[' + *document.textBy(none) + ']');
}

TEST_CASE("A shared value may be empty")
{
    const SharedValue<int> none;
    none.forgetText();
    CHECK_FALSE(none.has_value());
    CHECK(none.isSame(SharedValue<int>()));
    CHECK_FALSE(none.isSame(SharedValue<int>(1)));
}
