// A worker that was cut off for 5 s and runs a service since then gets no more work, for good, once it
// has run 400 more tasks; jobs that need its label are never started again.
#include "case.h"

using namespace standin;

int main(int, char **argv)
{
    const bool isTrouble = std::string(argv[2]) != "0";
    Case test(argv[1], argv[3]);
    const Queue checks{"checks", "/checks/", 0, 1.5, 250, 3};
    const Queue watch{"watch", "/watch/", 1, 2.2, 2500, 2};
    const std::string first = "aaaaaaaaaaaaaaaa";
    const std::string service = "bbbbbbbbbbbbbbbb";
    // w-1 is the only worker of kind b. It has the least room, so that it is chosen first.
    if (!test.addWorker(16'000, 32'768, "b"))
        return 2;
    for (int n = 0; n < 7; ++n) {
        if (!test.addWorker(32'000, 65'536))
            return 2;
    }
    Worker &special = *test.workers.front();
    if (!test.configure({checks, watch}, {{"one", 200'000, 400'000}, {"two", 200'000, 400'000}}))
        return test.finish(2, "no keeper took the configuration");

    if (test.submit(checks, first, "one", "1500", {{1, 2'000, 1'024, 1'500}}).status != 200
        || !test.await(first, 1, 10))
        return test.finish(2, "the first job did not start");
    if (!special.running().contains(first + ".0.0.0"))
        return test.finish(2, "the first job does not run on w-1");
    sleepMs(300);
    if (isTrouble) {
        test.record.line("trouble: w-1 is cut off for 5 s and runs on");
        special.setCut(true);
        sleepMs(5000);
        special.setCut(false);
    }
    sleepMs(4000);
    Step lasting{1, 2'000, 1'024, 400, true};
    lasting.more["required_label"] = "b";
    if (test.submit(watch, service, "one", "lasts", {lasting}).status != 200
        || !test.await(service, 1, 20))
        return test.finish(2, "the service did not start");
    // Jobs of 10 tasks that need the label, one after the other.
    Step step{10, 1'000, 256, 100};
    step.more["required_label"] = "b";
    std::vector<std::string> jobs;
    std::int64_t lastBegun = test.record.nowMs();
    for (int n = 0; n < 60; ++n) {
        char id[17];
        std::snprintf(id, sizeof id, "cccccccccccc%04d", n);
        jobs.emplace_back(id);
        if (test.submit(checks, id, "two", "100", {step}, true).status != 200)
            return test.finish(2, "a job was not accepted");
        for (int waited = 0; waited < 1500; waited += 20) {
            if (test.stateOf(checks, id, "two") == "completed") {
                lastBegun = test.record.nowMs();
                break;
            }
            sleepMs(20);
        }
        if (test.record.nowMs() - lastBegun > 5000)
            break;
    }
    test.record.line("end of the traffic: " + std::to_string(jobs.size()) + " jobs were accepted, w-1 lists "
                     + std::to_string(special.listedEnds()) + " ends");
    sleepMs(14'000 + 3'000);
    std::map<std::string, int> states;
    for (const std::string &id : jobs)
        ++states[test.stateOf(checks, id, "two")];
    for (const auto &[state, count] : states)
        test.record.line("finish_s and 3 s later " + std::to_string(count) + " jobs are " + state);
    test.recordUse([](const std::string &) { return 2'000; });
    if (states["completed"] != int(jobs.size()))
        return test.finish(1, "LOST: " + std::to_string(int(jobs.size()) - states["completed"])
                                      + " jobs have nothing running; w-1, which has the label, "
                                        "uses 2 of its 16 cores");
    return test.finish(0, "held: all " + std::to_string(jobs.size()) + " jobs are completed");
}
