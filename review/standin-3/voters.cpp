// Case: of two voters that are lost together with the leader, none is ever replaced.

#include "worker.h"

using namespace review;

namespace {

constexpr int Keepers = 5;
constexpr Ms SuccessorAfter = 1000;
constexpr Ms CatchUp = 6000;
constexpr Ms RecoveryMs = 15'000;
constexpr Ms FinishMs = 14'000;

} // namespace

int main(int, char **arguments)
{
    ::signal(SIGPIPE, SIG_IGN);
    Record record(arguments[1]);
    Cell cell(record, Keepers, 2, false, 2);
    if (!cell.start() || !putConfiguration(cell, record, smallConfiguration(7)))
        return CouldNotRun;
    sleepMs(5000);
    const std::string job = "00000000000000d0";
    if (callJob(cell, record, "POST", job,
                R"({"spec":"ms=500","steps":[{"count":1,"cpu":1000,"mem_mb":64,"est_ms":500}]})")
                .status != 200)
        return CouldNotRun;
    Host *leader = cell.leader();
    if (leader == nullptr)
        return CouldNotRun;
    if (hasTrouble()) {
        Host *follower = nullptr;
        for (Host *keeper : cell.keepers()) {
            if (keeper != leader)
                follower = keeper;
        }
        cell.remove(*leader);
        cell.remove(*follower);
        sleepMs(SuccessorAfter);
        cell.addKeeper();
        cell.addKeeper();
    }
    // The successors have their time, and more.
    sleepMs(CatchUp + 13'000);
    if (callJob(cell, record, "GET", job).status != 200)
        return CouldNotRun;
    if (hasTrouble()) {
        cell.remove(*cell.leader());
        sleepMs(SuccessorAfter);
        cell.addKeeper();
    }
    sleepMs(CatchUp + RecoveryMs);
    record.line("running: %zu core machines", cell.keepers().size());
    bool isAnswered = false;
    for (const Ms end = steadyMs() + FinishMs; !isAnswered && steadyMs() < end;)
        isAnswered = callJob(cell, record, "GET", job).status == 200;
    record.line("%s: LOST, the accepted job %s", isAnswered ? "held" : "BROKEN",
                isAnswered ? "is answered" : "gets no answer");
    return isAnswered ? RuleHeld : RuleBroken;
}
