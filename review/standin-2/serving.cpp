// A serving task (long_running with target_ms) whose worker is lost is not started again while
// best-effort tasks (fills) run on the other workers, although nearly all capacity is free.
#include "case.h"

using namespace standin;

int main(int, char **argv)
{
    const bool isTrouble = std::string(argv[2]) != "0";
    Case test(argv[1], argv[3]);
    const Queue watch{"watch", "/watch/", 1, 2.2, 2500, 2};
    const Queue batch{"batch", "/batch/", 2, 2.2, 1200, 2};
    const std::string service = "aaaaaaaaaaaaaaaa";
    const std::string task = service + ".0.0.0";
    constexpr int Workers = 8;
    for (int n = 0; n < Workers; ++n) {
        if (!test.addWorker(32'000, 65'536))
            return 2;
    }
    if (!test.configure({watch, batch}, {{"one", 200'000, 400'000}, {"two", 200'000, 400'000}}))
        return test.finish(2, "no keeper took the configuration");

    Step serving{1, 2'000, 1'024, 400, true};
    serving.more["target_ms"] = 200;
    serving.more["image"] = "web";
    if (test.submit(watch, service, "one", "lasts", {serving}).status != 200
        || !test.await(service, 1, 20))
        return test.finish(2, "the service did not start");
    // Batch work that only takes what others leave: jobs of 7 tasks that take 9.6 s (the longest
    // tasks of the sites), one job a second.
    std::atomic<bool> isOver{false};
    std::thread sender([&] {
        Step fill{7, 2'000, 512, 9'600};
        fill.more["fills"] = true;
        fill.more["image"] = "batch";
        for (int n = 0; !isOver; ++n) {
            char id[17];
            std::snprintf(id, sizeof id, "cccccccccccc%04d", n);
            test.submit(batch, id, "two", "9600", {fill});
            for (int slept = 0; slept < 1000 && !isOver; slept += 50)
                sleepMs(50);
        }
    });
    const auto finish = [&](int status, const std::string &text) {
        isOver = true;
        sender.join();
        return test.finish(status, text);
    };
    sleepMs(8000);
    Worker *const home = test.find(task);
    if (home == nullptr)
        return finish(2, "the serving task has ended");
    if (isTrouble) {
        test.record.line("trouble: " + home->id() + " is lost for good");
        home->crash();
    } else {
        test.record.line("no trouble: the serving task ends by its own fault");
        home->fail(task);
    }
    // Six seconds from its last run, four calm seconds before, and three seconds without a run.
    constexpr int BoundMs = 6000 + 4000 + 3000;
    constexpr int MaxMs = 30'000;
    const std::int64_t begin = test.record.nowMs();
    sleepMs(100);
    while (test.record.nowMs() - begin < MaxMs && test.find(task) == nullptr)
        sleepMs(20);
    const bool runs = test.find(task) != nullptr;
    const std::int64_t took = test.record.nowMs() - begin;
    test.recordUse([&](const std::string &) { return 2'000; });
    if (isTrouble && !runs) {
        test.record.line("afterwards: no more batch jobs are submitted");
        isOver = true;
        for (int waited = 0; waited < 400 && test.find(task) == nullptr; ++waited)
            sleepMs(50);
        test.record.line(test.find(task) == nullptr ? "still not started"
                                                    : "the serving task runs again");
    }
    if (!runs || took > BoundMs)
        return finish(1, "LOST: the serving task has not run for " + std::to_string(took)
                                 + " ms; it needs 2 of the 32 cores of any worker");
    return finish(0, "held: the serving task runs again after " + std::to_string(took) + " ms");
}
