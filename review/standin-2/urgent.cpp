// Jobs with nothing running are never started, although most of the service is free, while an urgent
// job of another tenant waits whose tasks are too large for what is free on each worker.
#include "case.h"

using namespace standin;

int main(int, char **argv)
{
    const bool isTrouble = std::string(argv[2]) != "0";
    Case test(argv[1], argv[3]);
    const Queue urgent{"checks", "/checks/", 0, 1.5, 250, 3};
    const Queue watch{"watch", "/watch/", 1, 2.2, 2500, 2};
    const Queue batch{"batch", "/batch/", 2, 2.2, 1200, 2};
    const std::string service = "aaaaaaaaaaaaaaaa";
    const std::string large = "bbbbbbbbbbbbbbbb";
    constexpr int Workers = 8;
    constexpr int Jobs = 20;
    if (!test.startAdviser([](const std::string &, const std::string &) { return true; }))
        return 2;
    for (int n = 0; n < Workers; ++n) {
        if (!test.addWorker(32'000, 65'536))
            return 2;
    }
    if (!test.configure({urgent, watch, batch},
                        {{"one", 200'000, 400'000}, {"two", 300'000, 500'000},
                         {"three", 200'000, 400'000}}))
        return test.finish(2, "no keeper took the configuration");

    // One lasting task a worker: 13 of its 32 cores are in use, 19 are free.
    Step lasting{Workers, 13'000, 4'096, 400, true};
    lasting.more["max_per_server"] = 1;
    if (test.submit(watch, service, "one", "lasts", {lasting}).status != 200
        || !test.await(service, Workers, 20))
        return test.finish(2, "the service did not start");
    sleepMs(2000);
    if (isTrouble) {
        test.record.line("trouble: a job comes that can't be done while the service runs");
        if (test.submit(urgent, large, "two", "600", {{12, 20'000, 4'096, 600}}).status != 200)
            return test.finish(2, "the large job was not accepted");
    }
    sleepMs(500);
    std::vector<std::string> jobs;
    for (int n = 0; n < Jobs; ++n) {
        char id[17];
        std::snprintf(id, sizeof id, "cccccccccccc%04d", n);
        jobs.emplace_back(id);
        if (test.submit(batch, id, "three", "1000", {{2, 2'000, 1'024, 1'000}}).status != 200)
            return test.finish(2, "a job was not accepted");
        sleepMs(200);
    }
    const std::int64_t end = test.record.nowMs();
    test.record.line("end of the traffic");
    // Asked for finish_s after the end of the traffic, and for 3 s.
    std::size_t completed = 0;
    while (test.record.nowMs() - end < 14'000 + 3'000 && completed < jobs.size()) {
        sleepMs(500);
        completed = 0;
        for (const std::string &id : jobs)
            completed += test.stateOf(batch, id, "three") == "completed" ? 1 : 0;
    }
    std::size_t idle = 0;
    for (const std::string &id : jobs) {
        const std::string state = test.stateOf(batch, id, "three");
        test.record.line("GET " + batch.prefix + id + ": " + state);
        idle += state == "queued" ? 1 : 0;
    }
    const std::string waiting
            = call(test.fronts[0], "GET", batch.prefix, JobHost, Case::headers("three"), "", 3000)
                      .body;
    test.record.line("GET " + batch.prefix + ": " + waiting);
    test.recordUse([&](const std::string &task) {
        return task.starts_with(service) ? 13'000 : task.starts_with(large) ? 20'000 : 2'000;
    });
    if (isTrouble && idle > 0) {
        test.record.line("afterwards: the large job is cancelled: status "
                         + std::to_string(test.cancel(urgent, large, "two")));
        sleepMs(8000);
        std::size_t after = 0;
        for (const std::string &id : jobs)
            after += test.stateOf(batch, id, "three") == "completed" ? 1 : 0;
        test.record.line("8 s later " + std::to_string(after) + " jobs are completed");
    }
    if (idle > 0)
        return test.finish(1, "LOST: " + std::to_string(idle) + " of " + std::to_string(Jobs)
                                      + " jobs have nothing running, though 13 of 32 cores are in "
                                        "use on each worker and a task needs 2");
    return test.finish(0, "held: " + std::to_string(completed) + " of " + std::to_string(Jobs)
                                  + " jobs are completed");
}
