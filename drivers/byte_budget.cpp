#include "drivers/byte_budget.h"

#include <mutex>
#include <utility>

namespace gentiancross {

namespace {

/** Of what is left, a value may take one part in this many. */
constexpr std::int64_t ShareDivisor = 2;

} // namespace

struct ByteBudget::State
{
    std::mutex mutex;
    Bytes reserved;
    std::uint64_t refusals = 0;
};

class ByteBudget::Reservation
{
public:
    Reservation(std::shared_ptr<State> state, Bytes bytes)
        : m_state(std::move(state))
        , m_bytes(bytes)
    {}
    Reservation(const Reservation &) = delete;
    Reservation &operator=(const Reservation &) = delete;

    ~Reservation()
    {
        const std::lock_guard lock(m_state->mutex);
        m_state->reserved -= m_bytes;
    }

private:
    std::shared_ptr<State> m_state;
    Bytes m_bytes;
};

ByteBudget::ByteBudget(Bytes limit)
    : m_limit(limit)
    , m_state(std::make_shared<State>())
{}

std::shared_ptr<const void> ByteBudget::reserve(Bytes bytes)
{
    {
        const std::lock_guard lock(m_state->mutex);
        if (m_state->reserved > Bytes(0) && bytes > (m_limit - m_state->reserved) / ShareDivisor) {
            ++m_state->refusals;
            return nullptr;
        }
        m_state->reserved += bytes;
    }
    return std::make_shared<const Reservation>(m_state, bytes);
}

Bytes ByteBudget::reserved() const
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->reserved;
}

std::uint64_t ByteBudget::refusals() const
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->refusals;
}

} // namespace gentiancross
