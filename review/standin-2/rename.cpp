// A version of the configuration renames a route. Accepted jobs of it are then answered 410, though
// they run, and can't be cancelled.
#include "case.h"

using namespace standin;

int main(int, char **argv)
{
    const bool isTrouble = std::string(argv[2]) != "0";
    Case test(argv[1], argv[3]);
    const Queue before{"r-before", "/runs/", 1, 2.2, 2500, 2};
    Queue after = before;
    after.name = "r-after";
    // Without the trouble the same change is made with the name left as it is.
    if (!isTrouble)
        after.name = before.name;
    const std::vector<Tenant> tenants{{"one", 200'000, 400'000}};
    const std::string lasting = "aaaaaaaaaaaaaaaa";
    const std::string chain = "bbbbbbbbbbbbbbbb";
    for (int n = 0; n < 4; ++n) {
        if (!test.addWorker(32'000, 65'536))
            return 2;
    }
    if (!test.configure({before}, tenants))
        return test.finish(2, "no keeper took the configuration");
    Step second{2, 2'000, 1'024, 4'000};
    second.more["after"].append(0);
    if (test.submit(before, lasting, "one", "lasts", {{2, 2'000, 1'024, 400, true}}).status != 200
        || test.submit(before, chain, "one", "15000", {{2, 2'000, 1'024, 15'000}, second}).status
                != 200
        || !test.await(lasting, 2, 20) || !test.await(chain, 2, 20))
        return test.finish(2, "the jobs did not start");
    for (const std::string &id : {lasting, chain})
        test.record.line("GET " + before.prefix + id + ": " + test.stateOf(before, id, "one"));
    sleepMs(4000);

    if (isTrouble)
        test.record.line("trouble: version 2 gives the route another name");
    // Waits for 3 s; config_apply_ms is 2 s.
    if (!test.configure({after}, tenants, 2))
        return test.finish(2, "no keeper took version 2");
    sleepMs(3000);
    int unknown = 0;
    for (int tries = 0; tries < 6; ++tries) {
        for (const std::string &id : {lasting, chain}) {
            const std::string state = test.stateOf(after, id, "one");
            test.record.line("GET " + after.prefix + id + ": " + state + "; "
                             + std::to_string(test.running(id)) + " of its tasks run");
            unknown += state == "410" ? 1 : 0;
        }
        sleepMs(500);
    }
    const int cancelled = test.cancel(after, lasting, "one");
    test.record.line("DELETE " + after.prefix + lasting + ": " + std::to_string(cancelled));
    sleepMs(8000);
    const std::size_t left = test.running(lasting);
    test.record.line("8 s later " + std::to_string(left) + " of its tasks run");
    test.record.line("both jobs were accepted; chain's second step started: "
                     + std::string(test.running(chain + ".0.1") > 0 ? "yes" : "not yet"));
    if (unknown > 0)
        return test.finish(1, "LOST: " + std::to_string(unknown)
                                      + " of 12 GETs for accepted jobs, which nobody had cancelled, "
                                        "were answered 410");
    return test.finish(left == 0 ? 0 : 1, left == 0 ? "held" : "the cancelled job's tasks run on");
}
