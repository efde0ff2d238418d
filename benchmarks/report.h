#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace gentiancross::benchmarks {

/** One measured figure. */
struct Figure
{
    std::string name;
    double value = 0.0;
    std::string unit;
    std::uint32_t seed = 0;
    std::uint64_t count = 0;
};

/** Collects figures, prints them as a table and writes them as JSON. */
class Report
{
public:
    explicit Report(std::string commit)
        : m_commit(std::move(commit))
    {}

    void add(Figure figure);
    /** Returns false if the file can't be written. */
    bool write(const std::string &path) const;

private:
    std::string m_commit;
    std::vector<Figure> m_figures;
};

/** The value below which this part of the values lie; \a values is sorted by it. */
double quantile(std::vector<double> &values, double fraction);

/** Seconds of processor time that this thread has used. */
double threadSeconds();

/** Bytes of the heap that are in use. */
double heapBytes();

} // namespace gentiancross::benchmarks
