#pragma once

#include "control/request_facts.h"

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace gentiancross {

/** How a new authority continues a request that an earlier authority accepted. */
struct Adoption
{
    /** Tasks that have completed successfully. */
    std::set<std::uint32_t> done;
    bool everRan = false;
    /** Tasks to queue individually. */
    std::vector<std::uint32_t> startable;
    /** True if all tasks are to be queued together as a gang. */
    bool isGangStartable = false;
    /** The outcome, if no task is left to wait for. */
    std::optional<Outcome> outcome;
};

/** Plans the adoption from durable facts alone. Precondition: the request is pending. Reentrant. */
Adoption planAdoption(const RequestFacts &facts);

} // namespace gentiancross
