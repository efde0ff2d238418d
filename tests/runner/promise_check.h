#pragma once

#include "tests/runner/sender.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace gentiancross::tests {

/** One run of a task, as recorded by a stand-in worker. */
struct ObservedRun
{
    std::string task;
    std::string team;
    std::string nonce;
    std::string worker;
    std::uint64_t epoch = 0;
    std::int64_t millicores = 0;
    std::int64_t startedAt = 0;
    /** For a task that still runs, the time at which the records were collected. */
    std::int64_t endedAt = 0;
};

/** The run records of all stand-in workers, and the violations that they detected. */
struct WorkerObservations
{
    std::vector<ObservedRun> runs;
    std::vector<std::string> violations;
};

/** Collects the records of the stand-in processes at the given addresses. */
WorkerObservations collectObservations(const std::vector<std::string> &addresses);

/** Configuration changes of the scenario that the checks depend on. */
struct PromiseContext
{
    /** The highest limit that each team has had during the scenario. */
    std::map<std::string, std::int64_t> highestLimit;
    /** Time at which the withdrawal of a key was answered as in force, by the key's secret. */
    std::map<std::string, std::int64_t> withdrawnAt;
};

/**
 * Compares the stand-ins' records with the answers that callers received. Returns one line for each
 * violated guarantee. Reentrant.
 */
std::vector<std::string> checkPromises(const WorkerObservations &observations,
                                       const std::vector<SentRequest> &requests,
                                       const PromiseContext &context);

/** The highest total of millicores that the team ran at once from \a since on. Reentrant. */
std::int64_t maxRunningMillicores(const WorkerObservations &observations, const std::string &team,
                                  std::int64_t since);

} // namespace gentiancross::tests
