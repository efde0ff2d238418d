#include "control/admission/memory_plan.h"

#include <algorithm>

namespace gentiancross {

namespace {

constexpr Bytes MaxLog = toBytes(Mebibytes(32));
constexpr Bytes MinStoredWork = toBytes(Mebibytes(2));
constexpr std::int64_t LogDivisor = 8;
/** For connections and decoded calls. */
constexpr std::int64_t ExchangeDivisor = 3;
/** The process without any work. */
constexpr Bytes IdleProcess = toBytes(Mebibytes(20));
/** An entry takes more memory than its encoded size, by which the log reckons. */
constexpr std::int64_t LogFactor = 2;
/** The replicated state, the leader's copy, and a snapshot while it is written. */
constexpr std::int64_t StoreCopies = 3;

} // namespace

MemoryPlan deriveMemoryPlan(Mebibytes memory)
{
    const Bytes machine = toBytes(memory);
    MemoryPlan plan;
    plan.log = std::min(MaxLog, machine / LogDivisor);
    const Bytes left = machine - machine / ExchangeDivisor - IdleProcess - plan.log * LogFactor;
    plan.storedWork = std::max(MinStoredWork, left / StoreCopies);
    return plan;
}

} // namespace gentiancross
