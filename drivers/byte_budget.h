#pragma once

#include "core/units.h"

#include <cstdint>
#include <memory>

namespace gentiancross {

/**
 * Bounds the memory of values that wait for a decision. A reservation lasts as long as the value
 * that it is attached to, whoever holds the last copy. Contains no network calls and reads no
 * clock. Thread safety: all methods may be called from any thread.
 */
class ByteBudget
{
public:
    explicit ByteBudget(Bytes limit);

    /** Reserves memory until the last copy of the result is destroyed, which may be after the
     * budget itself. Null if \a bytes are more than half of what is left, so that large values
     * leave room for small ones; if nothing is reserved, any number is granted. */
    std::shared_ptr<const void> reserve(Bytes bytes);

    [[nodiscard]] Bytes reserved() const;
    [[nodiscard]] Bytes limit() const { return m_limit; }
    /** How many reservations were not granted. */
    [[nodiscard]] std::uint64_t refusals() const;

private:
    struct State;
    class Reservation;

    const Bytes m_limit;
    std::shared_ptr<State> m_state;
};

} // namespace gentiancross
