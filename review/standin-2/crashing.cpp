// Three services whose tasks fail soon after each start keep all workers from being used, so that the
// jobs of other tenants, which have nothing running, are not started.
#include "case.h"

using namespace standin;

int main(int, char **argv)
{
    const bool isTrouble = std::string(argv[2]) != "0";
    Case test(argv[1], argv[3]);
    // The adviser's times are those of the sites' classes.
    const Queue watch{"watch", "/watch/", 1, 2.2, 2500, 2, 450, 6.5};
    const Queue batch{"batch", "/batch/", 2, 2.2, 1200, 2, 370, 5.3};
    const std::vector<std::string> services{"aaaaaaaaaaaaaaaa", "bbbbbbbbbbbbbbbb",
                                            "dddddddddddddddd"};
    constexpr int Workers = 8;
    constexpr int Jobs = 57;
    if (!test.startAdviser([](const std::string &, const std::string &) { return true; },
                           [&](const std::string &step) {
                               return step.starts_with("c") ? batch : watch;
                           }))
        return 2;
    for (int n = 0; n < Workers; ++n) {
        if (!test.addWorker(32'000, 65'536))
            return 2;
    }
    if (!test.configure({watch, batch}, {{"one", 200'000, 400'000}, {"two", 200'000, 400'000}}))
        return test.finish(2, "no keeper took the configuration");
    if (isTrouble)
        test.record.line("trouble: three services come whose tasks fail 0.3 s after each start");
    Step step{8, 2'000, 1'024, 400, true};
    step.more["max_per_server"] = 1;
    for (const std::string &service : services) {
        if (test.submit(watch, service, "one", isTrouble ? "fails 300" : "lasts",
                        {step})
                    .status
            != 200)
            return test.finish(2, "a service was not accepted");
    }
    sleepMs(6000);
    std::vector<std::string> jobs;
    for (int n = 0; n < Jobs; ++n) {
        char id[17];
        std::snprintf(id, sizeof id, "cccccccccccc%04d", n);
        jobs.emplace_back(id);
        if (test.submit(batch, id, "two", "1000", {{2, 2'000, 1'024, 1'000}}).status != 200)
            return test.finish(2, "a job was not accepted");
        sleepMs(200);
    }
    const std::int64_t end = test.record.nowMs();
    test.record.line("end of the traffic");
    // Asked for finish_s after the end of the traffic; then nothing may be idle for 3 s.
    while (test.record.nowMs() - end < 14'000)
        sleepMs(50);
    std::map<std::string, std::int64_t> idleSince;
    std::int64_t longest = 0;
    while (test.record.nowMs() - end < 14'000 + 12'000) {
        for (const std::string &id : jobs) {
            const bool isIdle
                    = test.running(id) == 0 && test.stateOf(batch, id, "two") != "completed";
            if (!isIdle)
                idleSince.erase(id);
            else
                longest = std::max(longest, test.record.nowMs()
                                                    - idleSince.try_emplace(id, test.record.nowMs())
                                                              .first->second);
        }
        sleepMs(50);
    }
    std::map<std::string, int> states;
    for (const std::string &id : jobs)
        ++states[test.stateOf(batch, id, "two")];
    for (const auto &[state, count] : states)
        test.record.line("at the end " + std::to_string(count) + " jobs are " + state);
    test.recordUse([](const std::string &) { return 2'000; });
    if (longest >= 3000)
        return test.finish(1, "LOST: " + std::to_string(idleSince.size())
                                      + " jobs have nothing running; one for "
                                      + std::to_string(longest) + " ms after finish_s");
    return test.finish(0, "held: no job had nothing running for 3 s");
}
