#pragma once

#include "tests/runner/fleet.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace gentiancross::tests {

/** A named measurement of whole processes, with all its samples. */
struct MeasuredFigure
{
    std::string name;
    std::string unit;
    std::vector<double> values;
};

/** Processor time that a process has used since its start, and its resident memory now. */
struct ProcessUsage
{
    double processorMilliseconds = 0.0;
    double residentMebibytes = 0.0;
};

/**
 * Measures a running fleet: the resources that its hosts use, and the latency of requests, changes
 * and recoveries. Called by Scenario for the verbs "measure" and "check-memory".
 * Thread safety: one thread.
 */
class FleetBenchmark
{
public:
    /** Executes an "until" line; returns false if its condition was not met in time. */
    using Until = std::function<bool(const std::string &sentence)>;

    FleetBenchmark(Fleet &fleet, Until until)
        : m_fleet(fleet)
        , m_until(std::move(until))
    {}

    /** Processor time, resident memory and rate of control traffic of each host over a time span.
     */
    std::vector<MeasuredFigure> measureResourceUse(const std::string &label,
                                                   std::int64_t milliseconds);
    [[nodiscard]] double residentMebibytes(const std::string &host) const
    {
        return processUsage(host).residentMebibytes;
    }
    /** Rate of journal syncs on a host and records per sync, over \a runs time spans. */
    std::vector<MeasuredFigure> measureJournal(const std::string &host, std::int64_t milliseconds,
                                               int runs);
    /** Time from the kill of an authority to the completion of the next request sent to its data
     * centre. */
    MeasuredFigure measureTakeover(const std::string &dataCentre, const std::string &key, int runs);
    /** Time until a configuration change is answered as in force on all hosts. */
    MeasuredFigure measureChange(const std::string &team, int runs);
    /** Time from the sending of a key's withdrawal to the last call that still succeeds with it. */
    MeasuredFigure measureWithdrawal(const std::string &team, int runs);
    /** Time from the restart of a host that missed changes until it has applied all of them. */
    MeasuredFigure measureRecovery(const std::string &host, int changes, int runs);
    /** Latency of a request through an entry host, and of the same work sent to the stand-in
     * directly, for comparison. */
    std::vector<MeasuredFigure> measurePath(const std::string &dataCentre, const std::string &key,
                                            int runs);

private:
    [[nodiscard]] ProcessUsage processUsage(const std::string &host) const;
    /** Makes one change; resends it under the same idempotency key until it is accepted. */
    bool changeWithRetries(const std::string &host, const std::string &team, std::int64_t version);
    [[nodiscard]] std::string hostInOtherDataCentre(const std::string &host) const;

    Fleet &m_fleet;
    Until m_until;
    int m_serial = 0;
};

/** Prints quantiles of each figure, and appends all samples to a file, one JSON object a line. */
void printAndSaveFigures(const std::vector<MeasuredFigure> &figures, const std::string &path);

} // namespace gentiancross::tests
