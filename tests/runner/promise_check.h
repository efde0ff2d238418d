#pragma once

#include "tests/runner/sender.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace gentiancross::tests {

/** One run of a task, as some stand-in saw it. */
struct ObservedRun
{
    std::string task;
    std::string team;
    std::string nonce;
    std::string worker;
    std::uint64_t epoch = 0;
    std::int64_t millicores = 0;
    std::int64_t startedAt = 0;
    /** The time of the look for a task that still runs. */
    std::int64_t endedAt = 0;
};

/** All that the stand-ins saw. */
struct WorkerObservations
{
    std::vector<ObservedRun> runs;
    std::vector<std::string> breaches;
};

/** Asks the stand-ins at these addresses. */
WorkerObservations collectObservations(const std::vector<std::string> &addresses);

/** What the checks need to know of the scenario. */
struct PromiseContext
{
    /** The highest limit that each team ever had. */
    std::map<std::string, std::int64_t> highestLimit;
    /** When the withdrawal of a key was answered as in force, by the key's secret. */
    std::map<std::string, std::int64_t> withdrawnAt;
};

/**
 * Holds what stand-ins saw against what callers were told. Returns one line a broken promise.
 * Reentrant.
 */
std::vector<std::string> checkPromises(const WorkerObservations &sightings,
                                       const std::vector<SentRequest> &requests,
                                       const PromiseContext &context);

/** The most that the team ran at once from \a since on, in thousandths of a core. Reentrant. */
std::int64_t maxRunningMillicores(const WorkerObservations &sightings, const std::string &team,
                                  std::int64_t since);

} // namespace gentiancross::tests
