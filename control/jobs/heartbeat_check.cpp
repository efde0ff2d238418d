#include "control/jobs/heartbeat_check.h"

namespace gentiancross::heartbeatcheck {

namespace {

/** Covers jumps of some 10 s on either clock. */
constexpr Milliseconds MaxBirthLead{30'000};

} // namespace

bool isPlausibleBirth(Milliseconds born, Milliseconds wall)
{
    return born <= wall + MaxBirthLead;
}

} // namespace gentiancross::heartbeatcheck
