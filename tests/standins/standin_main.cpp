#include "tests/standins/standin_server.h"

#include <absl/strings/str_split.h>
#include <sodium.h>
#include <tclap/CmdLine.h>

#include <csignal>
#include <iostream>

/** Runs the stand-in workers of one data centre until the process is killed. */
int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    if (sodium_init() < 0)
        return 1;
    TCLAP::CmdLine line("stand-in workers");
    TCLAP::ValueArg<std::string> dataCentre("", "data-centre", "", true, "", "name", line);
    TCLAP::ValueArg<std::string> ip("", "ip", "", true, "", "ip", line);
    TCLAP::ValueArg<std::string> entries("", "entries", "ip:port,...", true, "", "list", line);
    TCLAP::ValueArg<int> port("", "port", "", true, 0, "port", line);
    TCLAP::ValueArg<int> count("", "count", "", false, 1, "number", line);
    TCLAP::ValueArg<int> millicores("", "millicores", "", false, 32'000, "number", line);
    TCLAP::ValueArg<int> slots("", "slots", "", false, 8, "number", line);
    TCLAP::ValueArg<int> accelerators("", "accelerators", "", false, 0, "number", line);
    line.parse(argc, argv);

    gentiancross::tests::StandinOptions options;
    options.dataCentre = dataCentre.getValue();
    options.ip = ip.getValue();
    options.port = static_cast<std::uint16_t>(port.getValue());
    options.count = count.getValue();
    options.capacity.millicores = millicores.getValue();
    options.capacity.slots = slots.getValue();
    options.capacity.accelerators = accelerators.getValue();
    const std::vector<std::string> parts = absl::StrSplit(entries.getValue(), ',');
    options.entries = parts;
    gentiancross::tests::StandinServer server(std::move(options));
    if (!server.run()) {
        std::cerr << "cannot listen on " << ip.getValue() << ':' << port.getValue() << '\n';
        return 2;
    }
    return 0;
}
