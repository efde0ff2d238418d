#include "benchmarks/decision_bench.h"
#include "control/data_centre_copy.h"

namespace gentiancross::benchmarks {

namespace {

constexpr std::int64_t FirstWallMs = 1'800'000'000'000;

/** Records one request of each team and kind in each half hour of a day. */
void measureTeams(Report &report, int teams)
{
    DataCentreCopy copy;
    copy.beginEpoch(Epoch(1));
    const double before = heapBytes();
    const double begin = threadSeconds();
    std::uint64_t cells = 0;
    for (std::size_t halfHour = 0; halfHour < HalfHoursPerDay; ++halfHour) {
        const Milliseconds wall
                = Milliseconds(FirstWallMs) + HalfHourLength * static_cast<std::int64_t>(halfHour);
        for (int team = 0; team < teams; ++team) {
            for (const WorkKind kind : {WorkKind::Short, WorkKind::Batch}) {
                const RequestId request("r" + std::to_string(++cells));
                WorkSpec spec;
                spec.kind = kind;
                const TeamId name("team" + std::to_string(team));
                copy.apply(RequestAccepted{request, name, spec, wall});
                copy.apply(TaskStarting{request, 0, 1, WorkerId("w"), wall, WaitCause::Nothing});
                copy.apply(RequestEnded{request, Outcome::Done, {}, std::nullopt, wall});
                copy.apply(RequestForgotten{request});
            }
        }
    }
    const std::string label = std::to_string(teams) + " teams";
    const auto count = static_cast<double>(cells);
    constexpr double MicrosecondsPerSecond = 1e6;
    report.add({"memory a cell of the ledger, " + label, (heapBytes() - before) / count, "bytes", 1,
                cells});
    report.add({"processor time a request's four records in a copy, " + label,
                (threadSeconds() - begin) * MicrosecondsPerSecond / count, "us", 1, cells});
}

} // namespace

void measureLedger(Report &report)
{
    for (const int teams : {6, 60, 360})
        measureTeams(report, teams);
}

} // namespace gentiancross::benchmarks
