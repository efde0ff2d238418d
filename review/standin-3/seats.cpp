// Case: a voter that is removed while all others restart keeps its vote for ever.

#include "worker.h"

using namespace review;

namespace {

constexpr int Keepers = 5;
constexpr Ms SuccessorAfter = 1000;
constexpr Ms CatchUp = 6000;
/** How long the cell is watched after the last loss: recovery_s of a deployment of this kind. */
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
    const std::string job = "00000000000000d1";
    if (callJob(cell, record, "POST", job,
                R"({"spec":"ms=500","steps":[{"count":1,"cpu":1000,"mem_mb":64,"est_ms":500}]})")
                .status != 200)
        return CouldNotRun;
    if (hasTrouble()) {
        // The last keeper is no seed.
        cell.remove(*cell.keepers().back());
        sleepMs(SuccessorAfter);
        cell.addKeeper();
        sleepMs(500);
        const std::vector<Host *> all = cell.keepers();
        record.line("all processes of the core are killed, and start again");
        for (Host *keeper : all)
            cell.kill(*keeper, SIGKILL);
        sleepMs(300);
        for (Host *keeper : all)
            cell.launch(*keeper, false);
    }
    // The successor of the removed machine has its time, and more.
    sleepMs(CatchUp + 9000);
    if (callJob(cell, record, "GET", job).status != 200)
        return CouldNotRun;
    if (hasTrouble()) {
        // Two more, and never more than two at once.
        Host *const leader = cell.leader();
        if (leader == nullptr)
            return CouldNotRun;
        // Two of the voters, so not the one that was added last.
        Host *follower = nullptr;
        for (Host *keeper : cell.keepers()) {
            if (keeper != leader && keeper != cell.keepers().back())
                follower = keeper;
        }
        cell.remove(*leader);
        cell.remove(*follower);
        sleepMs(SuccessorAfter);
        cell.addKeeper();
        cell.addKeeper();
    }
    sleepMs(CatchUp + RecoveryMs);
    record.line("running: %zu core machines", cell.keepers().size());
    bool isAnswered = false;
    for (const Ms end = steadyMs() + FinishMs; !isAnswered && steadyMs() < end;)
        isAnswered = callJob(cell, record, "GET", job).status == 200;
    for (Host *keeper : cell.keepers()) {
        if (cell.hasEnded(*keeper))
            record.line("%s has ended by itself", keeper->name.c_str());
    }
    record.line("%s: LOST, the accepted job %s", isAnswered ? "held" : "BROKEN",
                isAnswered ? "is answered" : "gets no answer");
    return isAnswered ? RuleHeld : RuleBroken;
}
