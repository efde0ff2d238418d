#include "drivers/byte_budget.h"

#include <catch2/catch.hpp>

#include <optional>
#include <vector>

using namespace gentiancross;

TEST_CASE("A reservation lasts as long as its last copy, also beyond its budget")
{
    std::optional<ByteBudget> budget(Bytes(100));
    std::shared_ptr<const void> first = budget->reserve(Bytes(40));
    const std::shared_ptr<const void> copy = first;
    first.reset();
    CHECK(budget->reserved() == Bytes(40));
    budget.reset();
}

TEST_CASE("Large values leave room for small ones")
{
    ByteBudget budget(Bytes(1000));
    std::vector<std::shared_ptr<const void>> large;
    while (std::shared_ptr<const void> reservation = budget.reserve(Bytes(300)))
        large.push_back(std::move(reservation));
    CHECK(large.size() == 2);
    CHECK(budget.refusals() == 1);
    constexpr int SmallValues = 100;
    std::vector<std::shared_ptr<const void>> small;
    small.reserve(SmallValues);
    for (int value = 0; value < SmallValues; ++value)
        small.push_back(budget.reserve(Bytes(1)));
    CHECK(small.back() != nullptr);
    CHECK(budget.reserved() <= budget.limit());
}

TEST_CASE("A value that exceeds the limit is granted while nothing else is held")
{
    ByteBudget budget(Bytes(10));
    {
        const std::shared_ptr<const void> large = budget.reserve(Bytes(50));
        CHECK(large != nullptr);
        CHECK(budget.reserve(Bytes(1)) == nullptr);
    }
    CHECK(budget.reserved() == Bytes(0));
    CHECK(budget.reserve(Bytes(1)) != nullptr);
}
