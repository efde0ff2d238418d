#pragma once

#include "tests/runner/sender.h"

#include <vector>

namespace gentiancross::tests {

/** Prints a table of requests by kind and team: number, outcomes and latency quantiles. */
void printOutcomes(const std::vector<SentRequest> &requests);

} // namespace gentiancross::tests
