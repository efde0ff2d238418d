#include "benchmarks/decision_bench.h"

#include <iostream>
#include <string>

namespace {

using namespace gentiancross::benchmarks;

void measureAll(Report &report)
{
    measureReducer(report);
    measureDecisions(report);
    measureShares(report);
    measureShareReturn(report);
    measurePacking(report);
    measureLedger(report);
    measureWaiting(report);
    measureCell(report);
}

} // namespace

/** Runs all benchmarks, or only the cell's; writes the figures as JSON to the first argument. */
int main(int argc, char **argv)
{
    const bool isCellOnly = argc == 4 && std::string(argv[3]) == "cell";
    if (argc != 3 && !isCellOnly) {
        std::cerr << "usage: bench FILE COMMIT [cell]\n";
        return 2;
    }
    Report report(argv[2]);
    if (isCellOnly)
        measureCell(report);
    else
        measureAll(report);
    return report.write(argv[1]) ? 0 : 1;
}
