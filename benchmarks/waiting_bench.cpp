#include "benchmarks/decision_bench.h"
#include "benchmarks/waiting_simulation.h"

#include <absl/strings/str_format.h>

namespace gentiancross::benchmarks {

namespace {

constexpr std::uint32_t Seed = 11;
constexpr Milliseconds Span{3'600'000};

void measureLoad(Report &report, double load)
{
    WaitingRun fair(Policies::standard(), load, false, Seed);
    WaitingRun naive(Policies::naive(), load, true, Seed);
    fair.run(Span);
    naive.run(Span);
    std::map<std::string, std::vector<double>> naiveWaits = naive.waits();
    for (auto &[kind, waits] : fair.waits()) {
        std::vector<double> sorted = waits;
        std::vector<double> &other = naiveWaits[kind];
        const std::string place = absl::StrFormat("%s at %.2f of what fits", kind, load);
        report.add({"waiting p50, " + place, quantile(sorted, 0.5), "ms", Seed, sorted.size()});
        report.add({"waiting p99, " + place, quantile(sorted, 0.99), "ms", Seed, sorted.size()});
        report.add({"waiting worst, " + place, sorted.back(), "ms", Seed, sorted.size()});
        report.add({"naive waiting p50, " + place, quantile(other, 0.5), "ms", Seed, other.size()});
        report.add(
                {"naive waiting p99, " + place, quantile(other, 0.99), "ms", Seed, other.size()});
    }
}

} // namespace

void measureWaiting(Report &report)
{
    for (const double load : {0.7, 0.95, 1.5})
        measureLoad(report, load);
}

} // namespace gentiancross::benchmarks
