#pragma once

#include <json/json.h>

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace gentiancross::tests {

/** Derives malformed messages from valid ones; deterministic for a seed. */
class MessageMutator
{
public:
    explicit MessageMutator(std::uint64_t seed);

    /** Returns a random number from 0 to \a bound - 1. Precondition: \a bound is not 0. */
    std::uint64_t below(std::uint64_t bound);
    /** Corrupts bytes of the text or, if \a valid is JSON, may change values of its tree instead.
     */
    std::string mutate(const std::string &valid);
    /** Replaces, repeats, moves or removes a few values; the result is still JSON. */
    Json::Value mutateTree(Json::Value json);

private:
    std::string mutateTextOnce(std::string text);
    void mutateTreeOnce(Json::Value &json);
    Json::Value hostileValue();

    std::mt19937_64 m_random;
};

} // namespace gentiancross::tests
