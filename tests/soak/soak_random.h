#pragma once

#include <cstdint>
#include <random>

namespace gentiancross::tests {

/** All chance of a soak comes from its seed. Thread safety: one thread. */
class SoakRandom
{
public:
    explicit SoakRandom(std::uint32_t seed)
        : m_engine(seed)
    {}

    /** A whole number from \a least to \a most. */
    std::int64_t between(std::int64_t least, std::int64_t most)
    {
        return std::uniform_int_distribution<std::int64_t>(least, most)(m_engine);
    }
    bool chance(double part) { return std::uniform_real_distribution<>(0, 1)(m_engine) < part; }
    /** Exponentially distributed around \a mean. */
    double spread(double mean) { return std::exponential_distribution<>(1 / mean)(m_engine); }

private:
    std::mt19937 m_engine;
};

} // namespace gentiancross::tests
