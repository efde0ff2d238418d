#pragma once

#include "core/units.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace gentiancross {

/** Counts and times of answered exchanges. Thread safety: any thread. */
class Metrics
{
public:
    /** Notes that an exchange of this route was answered with \a status after \a took. */
    void recordExchange(const std::string &route, int status, Milliseconds took);

    /** Notes that one sync of the journal covered this many records. */
    void recordJournalSync(std::uint64_t records);

    /** All metrics in the Prometheus text format. */
    [[nodiscard]] std::string text() const;

private:
    using Times = boost::accumulators::accumulator_set<
            double,
            boost::accumulators::stats<boost::accumulators::tag::count,
                                       boost::accumulators::tag::max,
                                       boost::accumulators::tag::extended_p_square>>;

    struct Route
    {
        Route();

        std::map<int, std::uint64_t> answersByStatus;
        Times times;
    };

    mutable std::mutex m_mutex;
    std::map<std::string, Route> m_routes;
    std::uint64_t m_journalSyncs = 0;
    std::uint64_t m_journalRecords = 0;
};

} // namespace gentiancross
