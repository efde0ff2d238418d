#include "drivers/main_loop.h"
#include "main/cell_command.h"
#include "main/client_commands.h"
#include "main/command.h"
#include "main/evacuation_command.h"
#include "main/report_command.h"
#include "main/serve_command.h"
#include "main/timeline_command.h"
#include "main/version_command.h"

#include <curl/curl.h>
#include <sodium.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

namespace {

using gentiancross::Command;
using gentiancross::ExitCode;

std::vector<std::unique_ptr<Command>> makeCommands()
{
    std::vector<std::unique_ptr<Command>> commands = gentiancross::makeClientCommands();
    commands.push_back(std::make_unique<gentiancross::ServeCommand>());
    commands.push_back(std::make_unique<gentiancross::CellCommand>());
    commands.push_back(std::make_unique<gentiancross::EvacuationCommand>());
    commands.push_back(std::make_unique<gentiancross::CheckSettingsCommand>());
    commands.push_back(std::make_unique<gentiancross::TimelineCommand>());
    commands.push_back(std::make_unique<gentiancross::ReportCommand>());
    commands.push_back(std::make_unique<gentiancross::PolicyCommand>());
    commands.push_back(std::make_unique<gentiancross::VersionCommand>());
    return commands;
}

void printUsage(std::ostream &out, const std::vector<std::unique_ptr<Command>> &commands)
{
    out << "usage: gentiancross VERB [--help] ...\n";
    for (const auto &command : commands)
        out << "  " << command->name() << ": " << command->summary() << '\n';
}

/** Exits without running the libraries' clean-up: that of the log library waits for a thread that
 * may never return, and a host that was told to stop has nothing left to do. */
[[noreturn]] void exitProcess(ExitCode code)
{
    std::cout.flush();
    std::fflush(nullptr);
    std::quick_exit(static_cast<int>(code));
}

} // namespace

int main(int argc, char **argv)
{
    gentiancross::MainLoop::holdSignals();
    std::signal(SIGPIPE, SIG_IGN); // A write to a closed connection then fails with EPIPE.
    if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT) != CURLE_OK) {
        std::cerr << "gentiancross: settings: the libraries could not be set up\n";
        return static_cast<int>(ExitCode::BadSettings);
    }
    const std::vector<std::string> words(argv + 1, argv + argc);
    const std::vector<std::unique_ptr<Command>> commands = makeCommands();
    const std::string verb = words.empty() ? std::string() : words.front();
    if (verb == "help" || verb == "--help") {
        printUsage(std::cout, commands);
        return 0;
    }
    for (const auto &command : commands) {
        if (command->name() != verb)
            continue;
        if (!command->handlesSignals())
            gentiancross::MainLoop::releaseSignals();
        exitProcess(command->run(words));
    }
    std::cerr << "gentiancross: settings: there is no verb \"" << verb << "\"\n";
    printUsage(std::cerr, commands);
    return static_cast<int>(ExitCode::BadSettings);
}
