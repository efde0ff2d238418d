#pragma once

#include <cstdint>
#include <random>

namespace gentiancross::tests {

/**
 * Pseudo-random source of a soak or a model test; the seed determines all its values. Thread
 * safety: one thread.
 */
class SoakRandom
{
public:
    explicit SoakRandom(std::uint32_t seed)
        : m_engine(seed)
    {}

    /** A uniformly distributed integer from \a least to \a most, both included. */
    std::int64_t between(std::int64_t least, std::int64_t most)
    {
        return std::uniform_int_distribution<std::int64_t>(least, most)(m_engine);
    }
    /** True with probability \a part. */
    bool chance(double part) { return std::uniform_real_distribution<>(0, 1)(m_engine) < part; }
    /** An exponentially distributed value with the mean \a mean. */
    double spread(double mean) { return std::exponential_distribution<>(1 / mean)(m_engine); }

private:
    std::mt19937 m_engine;
};

} // namespace gentiancross::tests
