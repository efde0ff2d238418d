#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace gentiancross::benchmarks {

/** One measured value. */
struct Figure
{
    std::string name;
    double value = 0.0;
    std::string unit;
    std::uint32_t seed = 0;
    std::uint64_t count = 0;
};

/** Collects figures, prints each as a table row and writes all as JSON. Called by bench_main. */
class Report
{
public:
    explicit Report(std::string commit)
        : m_commit(std::move(commit))
    {}

    void add(Figure figure);
    /** Returns false if the file cannot be written. */
    bool write(const std::string &path) const;

private:
    std::string m_commit;
    std::vector<Figure> m_figures;
};

/** The value at this quantile, from 0 to 1; sorts \a values, which must not be empty. */
double quantile(std::vector<double> &values, double fraction);

/** Processor time in seconds that the calling thread has used. */
double threadSeconds();

/** Heap memory in use, in bytes. */
double heapBytes();

} // namespace gentiancross::benchmarks
