#pragma once

#include <json/json.h>

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace gentiancross::tests {

/** Makes malformed messages of valid ones; the same seed makes the same ones. */
class MessageMutator
{
public:
    explicit MessageMutator(std::uint64_t seed);

    /** A number from 0 to \a bound - 1. Precondition: \a bound is not 0. */
    std::uint64_t below(std::uint64_t bound);
    /** Damages the bytes, or replaces values of the tree if \a valid is JSON. */
    std::string mutate(const std::string &valid);
    /** Replaces, repeats or takes away a few values; what comes out is JSON. */
    Json::Value mutateTree(Json::Value json);

private:
    std::string mutateTextOnce(std::string text);
    void mutateTreeOnce(Json::Value &json);
    Json::Value hostileValue();

    std::mt19937_64 m_random;
};

} // namespace gentiancross::tests
