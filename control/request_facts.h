#pragma once

#include "core/data_centre_records.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace gentiancross {

/** The durable state of one task of a request. */
struct TaskFacts
{
    std::uint32_t attempt = 0;
    /** The worker on which the task may be running; empty if it is certainly not running. */
    WorkerId worker;
    bool everRan = false;
    bool ended = false;
    bool succeeded = false;
};

/** The durable state of one request, derived from the data centre's records. */
struct RequestFacts
{
    TeamId team;
    WorkSpec spec;
    Milliseconds acceptedAtWall;
    std::vector<TaskFacts> tasks;
    /** True once the start of any task has been recorded. */
    bool hasStarted = false;
    Outcome outcome = Outcome::Pending;
    std::string reason;
    std::optional<Blob> answer;
    Milliseconds endedAtWall;
};

} // namespace gentiancross
