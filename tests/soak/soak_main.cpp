#include "tests/runner/known_red.h"
#include "tests/soak/soak.h"

#include <sodium.h>
#include <tclap/CmdLine.h>

#include <csignal>
#include <filesystem>
#include <iostream>

namespace {

/** The name of a run in the file of tests known to fail. */
std::string nameOf(const gentiancross::tests::SoakOptions &options)
{
    return std::string(options.mixesIncarnations         ? "soak-mix-incarnations-"
                               : options.losesResponses  ? "soak-lose-responses-"
                               : options.replacesKeepers ? "soak-replace-keepers-"
                                                         : "soak-")
            + std::to_string(options.seed);
}

} // namespace

/** Soaks a cell of real processes; exits with 1 if a guarantee was violated under any seed. */
int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    if (sodium_init() < 0)
        return 1;
    TCLAP::CmdLine line("soaks a cell of real processes");
    TCLAP::ValueArg<std::string> binary("", "binary", "", true, "", "path", line);
    TCLAP::ValueArg<std::string> folder("", "folder", "", true, "", "path", line);
    TCLAP::ValueArg<int> seed("", "seed", "the first seed", false, 1, "number", line);
    TCLAP::ValueArg<int> seeds("", "seeds", "how many seeds", false, 1, "number", line);
    TCLAP::ValueArg<int> net("", "net", "second part of addresses", false, 201, "number", line);
    TCLAP::ValueArg<int> seconds("", "seconds", "", false, 20, "number", line);
    TCLAP::ValueArg<int> keepers("", "keepers", "", false, 4, "number", line);
    TCLAP::ValueArg<int> entries("", "entries", "", false, 3, "number", line);
    TCLAP::ValueArg<int> workers("", "workers", "", false, 12, "number", line);
    TCLAP::ValueArg<double> jobs("", "jobs", "jobs a second", false, 5, "number", line);
    TCLAP::ValueArg<int> widest("", "widest", "tasks of a step", false, 8, "number", line);
    TCLAP::SwitchArg calm("", "calm", "injects no faults", line);
    TCLAP::SwitchArg lose("", "lose-responses", "workers also lose responses", line);
    TCLAP::SwitchArg mix("", "mix-incarnations",
                         "messages also reach a worker's next incarnation, and other writers send "
                         "heartbeats",
                         line);
    TCLAP::SwitchArg replace("", "replace-keepers",
                             "plays only losses of keepers: removed for good, all killed at once, "
                             "leaders cut off",
                             line);
    TCLAP::ValueArg<std::string> knownRed("", "known-red", "file of tests known to fail", false, "",
                                          "path", line);
    line.parse(argc, argv);
    const std::set<std::string> red = gentiancross::tests::readKnownRed(knownRed.getValue());

    int failed = 0;
    int passedOver = 0;
    for (int turn = 0; turn < seeds.getValue(); ++turn) {
        gentiancross::tests::SoakOptions options;
        options.binary = binary.getValue();
        options.seed = static_cast<std::uint32_t>(seed.getValue() + turn);
        options.folder = folder.getValue() + "/seed-" + std::to_string(options.seed);
        options.secondOctet = net.getValue();
        options.seconds = seconds.getValue();
        options.keepers = keepers.getValue();
        options.entries = entries.getValue();
        options.workers = workers.getValue();
        options.jobsPerSecond = jobs.getValue();
        options.maxTasksPerStep = widest.getValue();
        options.injectsFaults = !calm.getValue();
        options.losesResponses = lose.getValue();
        options.mixesIncarnations = mix.getValue();
        options.replacesKeepers = replace.getValue();
        std::filesystem::remove_all(options.folder);
        std::filesystem::create_directories(options.folder);
        gentiancross::tests::Soak soak(options);
        const bool isPassed = soak.run();
        soak.printSummary();
        const std::string name = nameOf(options);
        if (isPassed)
            continue;
        const bool isRed = red.contains(name);
        std::cout << (isRed ? "KNOWN RED: " : "BROKEN: ") << name << '\n';
        ++(isRed ? passedOver : failed);
    }
    std::cout << "soak: " << seeds.getValue() - failed - passedOver << " passed, " << failed
              << " failed, " << passedOver << " known red passed over\n";
    return failed == 0 ? 0 : 1;
}
