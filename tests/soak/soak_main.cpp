#include "tests/soak/soak.h"

#include <sodium.h>
#include <tclap/CmdLine.h>

#include <csignal>
#include <filesystem>
#include <iostream>

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
    line.parse(argc, argv);

    int failed = 0;
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
        std::filesystem::remove_all(options.folder);
        std::filesystem::create_directories(options.folder);
        gentiancross::tests::Soak soak(options);
        const bool isPassed = soak.run();
        soak.printSummary();
        failed += isPassed ? 0 : 1;
    }
    std::cout << "soak: " << seeds.getValue() - failed << " passed, " << failed << " failed\n";
    return failed == 0 ? 0 : 1;
}
