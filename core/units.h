#pragma once

#include <compare>
#include <cstdint>
#include <tuple>

namespace gentiancross {

/** A strongly typed integer with a unit; arithmetic stays within the unit. */
template <typename Tag>
class Quantity
{
public:
    using ValueType = std::int64_t;

    constexpr Quantity() = default;
    constexpr explicit Quantity(std::int64_t value)
        : m_value(value)
    {}

    [[nodiscard]] constexpr std::int64_t value() const { return m_value; }

    constexpr Quantity operator+(Quantity other) const { return Quantity(m_value + other.m_value); }
    constexpr Quantity operator-(Quantity other) const { return Quantity(m_value - other.m_value); }
    constexpr Quantity operator*(std::int64_t factor) const { return Quantity(m_value * factor); }
    constexpr Quantity operator/(std::int64_t divisor) const { return Quantity(m_value / divisor); }
    constexpr Quantity &operator+=(Quantity other)
    {
        m_value += other.m_value;
        return *this;
    }
    constexpr Quantity &operator-=(Quantity other)
    {
        m_value -= other.m_value;
        return *this;
    }

    auto operator<=>(const Quantity &) const = default;
    bool operator==(const Quantity &) const = default;

private:
    std::int64_t m_value = 0;
};

using Milliseconds = Quantity<struct MillisecondsTag>;
/** For measured times only; all decisions are made in milliseconds. */
using Microseconds = Quantity<struct MicrosecondsTag>;
using Nanoseconds = Quantity<struct NanosecondsTag>;
/** Processor capacity, in thousandths of a core. */
using MilliCores = Quantity<struct MilliCoresTag>;
/** Memory, in units of 1,048,576 bytes. */
using Mebibytes = Quantity<struct MebibytesTag>;
/** Memory of this system's own processes. */
using Bytes = Quantity<struct BytesTag>;
using Accelerators = Quantity<struct AcceleratorsTag>;
/** Number of tasks that a worker can run at once. */
using Slots = Quantity<struct SlotsTag>;

[[nodiscard]] constexpr Bytes toBytes(Mebibytes memory)
{
    constexpr std::int64_t BytesPerMebibyte = 1 << 20;
    return Bytes(memory.value() * BytesPerMebibyte);
}

/** A point on one host's monotonic clock; comparable only with points of the same clock. */
class Instant
{
public:
    using ValueType = std::int64_t;

    constexpr Instant() = default;
    constexpr explicit Instant(std::int64_t milliseconds)
        : m_value(milliseconds)
    {}

    [[nodiscard]] constexpr std::int64_t value() const { return m_value; }

    constexpr Instant operator+(Milliseconds span) const { return Instant(m_value + span.value()); }
    constexpr Instant operator-(Milliseconds span) const { return Instant(m_value - span.value()); }
    constexpr Milliseconds operator-(Instant other) const
    {
        return Milliseconds(m_value - other.m_value);
    }

    auto operator<=>(const Instant &) const = default;
    bool operator==(const Instant &) const = default;

private:
    std::int64_t m_value = 0;
};

/** The resources that a task requests or a worker has. */
struct Resources
{
    MilliCores cores;
    Mebibytes memory;
    Accelerators accelerators;
    Slots slots;

    template <typename Self>
    static auto fields(Self &self)
    {
        return std::tie(self.cores, self.memory, self.accelerators, self.slots);
    }

    /** True if every component of this is at most the same component of \a available. */
    [[nodiscard]] bool fitsIn(const Resources &available) const
    {
        return cores <= available.cores && memory <= available.memory
                && accelerators <= available.accelerators && slots <= available.slots;
    }

    Resources &operator+=(const Resources &other)
    {
        cores += other.cores;
        memory += other.memory;
        accelerators += other.accelerators;
        slots += other.slots;
        return *this;
    }

    Resources &operator-=(const Resources &other)
    {
        cores -= other.cores;
        memory -= other.memory;
        accelerators -= other.accelerators;
        slots -= other.slots;
        return *this;
    }

    bool operator==(const Resources &) const = default;
};

} // namespace gentiancross
