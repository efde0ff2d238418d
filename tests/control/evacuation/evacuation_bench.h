#pragma once

#include "tests/control/jobs/leader_bench.h"

#include <set>
#include <string>
#include <vector>

namespace gentiancross::tests {

/** A leader with a configuration, whose workers "a1", "a2", ... are in the data centre "a", "b1" in
 * "b" and so on. */
struct EvacuationBench : LeaderBench
{
    explicit EvacuationBench(std::optional<AdviceTerms> advice = {}, JobStoreData store = {})
        : LeaderBench(std::move(store))
    {
        configure({}, advice);
    }

    void heartbeat(const std::string &worker, std::int64_t born = 1, std::int64_t accelerators = 0)
    {
        WorkerHeartbeat heartbeat = makeHeartbeat(worker, born);
        heartbeat.report.dataCentre = DataCentreId(worker.substr(0, 1));
        heartbeat.report.capacity.accelerators = Accelerators(accelerators);
        call(heartbeat);
    }
    bool begin(const std::string &dataCentre, std::int64_t age = 0)
    {
        return std::holds_alternative<CallDone>(
                call(BeginEvacuation{DataCentreId(dataCentre), Milliseconds(age)}));
    }
    bool finish(const std::string &dataCentre, std::int64_t age = 0)
    {
        return std::holds_alternative<CallDone>(
                call(EndEvacuation{DataCentreId(dataCentre), Milliseconds(age)}));
    }
    EvacuationList list() { return std::get<EvacuationList>(call(ListEvacuations{})); }
    /** Takes the starts since the last call, and returns the workers that they are for. */
    std::set<std::string> takeStartedWorkers()
    {
        std::set<std::string> workers;
        for (const CallWorker &start : takeStarts()) {
            workers.insert(start.incarnation.worker.value());
            answer(start, WorkerVerdict::Done);
        }
        return workers;
    }
};

} // namespace gentiancross::tests
