#pragma once

#include "tests/control/jobs/simulated_cell.h"

#include <string>

namespace gentiancross::tests {

/** A configuration with one public queue, whose source is "version N". */
PutConfiguration makePut(std::uint64_t version);
/** Submits the job with this number to that queue. */
JobCall makeSubmit(int number);
/** Asks for the state of that job. */
JobCall makeLook(int number);

bool isDone(const CallAnswer *answer);
bool isShown(const CallAnswer *answer);
/** The source of the configuration in the answer; empty if it shows none. */
std::string sourceOf(const CallAnswer *answer);

/** A founded cell with an active configuration. */
struct FoundedCell
{
    explicit FoundedCell(int keepers = 4, std::uint64_t seed = 1, VoterOptions voters = {});

    /** True if the job is accepted within this number of milliseconds. */
    bool submit(const std::string &host, int number, std::int64_t within);
    /** True if the host shows the job's state. */
    bool knows(const std::string &host, int number);

    SimulatedCell group;
};

} // namespace gentiancross::tests
