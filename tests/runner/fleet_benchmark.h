#pragma once

#include "tests/runner/fleet.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace gentiancross::tests {

/** One measured figure of whole processes: every value that was seen. */
struct MeasuredFigure
{
    std::string name;
    std::string unit;
    std::vector<double> values;
};

/** What a process has used so far. */
struct ProcessUsage
{
    double processorMilliseconds = 0.0;
    double residentMebibytes = 0.0;
};

/**
 * Measures a running fleet: what its hosts spend, and how long things take. Thread safety: one
 * thread.
 */
class FleetBenchmark
{
public:
    /** Brings the fleet to where a sentence is true, or returns false. */
    using Until = std::function<bool(const std::string &sentence)>;

    FleetBenchmark(Fleet &fleet, Until until)
        : m_fleet(fleet)
        , m_until(std::move(until))
    {}

    /** Processor time, memory and control bytes a second of each host over a span. */
    std::vector<MeasuredFigure> use(const std::string &label, std::int64_t milliseconds);
    /** The memory that a host has resident, in MiB. */
    [[nodiscard]] double memoryOf(const std::string &host) const
    {
        return processUsage(host).residentMebibytes;
    }
    /** Syncs a second of a host's journal, and the records that share one, over a span. */
    std::vector<MeasuredFigure> journal(const std::string &host, std::int64_t milliseconds,
                                        int runs);
    /** Time from the kill of an authority to the end of the next request that is sent to its data
     * centre. */
    MeasuredFigure takeover(const std::string &dataCentre, const std::string &key, int runs);
    /** Time until a change is answered as in force on all hosts. */
    MeasuredFigure change(const std::string &team, int runs);
    /** Time from the sending of a withdrawal to the last success of its key. */
    MeasuredFigure withdrawal(const std::string &team, int runs);
    /** Time from the start of a host that missed changes to its having applied all of them. */
    MeasuredFigure recovery(const std::string &host, int changes, int runs);
    /** A request through an entry host against the same work sent to the stand-in directly. */
    std::vector<MeasuredFigure> path(const std::string &dataCentre, const std::string &key,
                                     int runs);

private:
    [[nodiscard]] ProcessUsage processUsage(const std::string &host) const;
    /** Makes one change, sent again under its name until it is taken. */
    bool changeWithRetries(const std::string &host, const std::string &team, std::int64_t version);
    [[nodiscard]] std::string hostInOtherDataCentre(const std::string &host) const;

    Fleet &m_fleet;
    Until m_until;
    int m_serial = 0;
};

/** Prints the figures with their quantiles, and appends them to a JSON file. */
void printAndSaveFigures(const std::vector<MeasuredFigure> &figures, const std::string &path);

} // namespace gentiancross::tests
