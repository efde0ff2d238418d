#pragma once

#include <string>

namespace gentiancross {

/** Arbitrary bytes, as opposed to text. */
struct Blob
{
    std::string bytes;

    bool operator==(const Blob &) const = default;
};

} // namespace gentiancross
