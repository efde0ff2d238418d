#pragma once

#include "tests/runner/fleet.h"
#include "tests/runner/scenario_line.h"

#include <json/json.h>

#include <string>
#include <utility>

namespace gentiancross::tests {

/**
 * Fetches the daily report page from an entry host and compares its figures with those that a
 * scenario expects. The UTC offset of the day is chosen such that the current time is about noon,
 * so that a scenario never runs across the end of a day. Thread safety: one thread.
 */
class PageCheck
{
public:
    PageCheck(Fleet &fleet, std::string host)
        : m_fleet(fleet)
        , m_host(std::move(host))
    {}

    /** Compares the page with the options verdict=, told=, accepted=, ended=, open= and too-long=
     * of the line. Returns the values that differ, and those gaps listed on the page that report
     * inconsistent figures, each after a space; empty if there are none. */
    std::string compare(const ScenarioLine &line) const;
    /** Returns the body of the page in the given format. */
    [[nodiscard]] std::string fetch(const std::string &format) const;

private:
    Fleet &m_fleet;
    std::string m_host;
};

} // namespace gentiancross::tests
