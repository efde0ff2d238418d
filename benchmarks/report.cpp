#include "benchmarks/report.h"

#include <json/json.h>

#include <algorithm>
#include <ctime>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <malloc.h>

namespace gentiancross::benchmarks {

namespace {

constexpr double NanosecondsPerSecond = 1e9;

} // namespace

void Report::add(Figure figure)
{
    std::cout << std::left << std::setw(58) << figure.name << std::right << std::setw(14)
              << std::fixed << std::setprecision(3) << figure.value << ' ' << figure.unit << "  ("
              << figure.count << ", seed " << figure.seed << ")" << std::endl;
    m_figures.push_back(std::move(figure));
}

bool Report::write(const std::string &path) const
{
    Json::Value list(Json::arrayValue);
    for (const Figure &figure : m_figures) {
        Json::Value json;
        json["name"] = figure.name;
        json["value"] = figure.value;
        json["unit"] = figure.unit;
        json["seed"] = figure.seed;
        json["count"] = static_cast<Json::UInt64>(figure.count);
        json["commit"] = m_commit;
        list.append(json);
    }
    std::ofstream file(path);
    file << list;
    return static_cast<bool>(file);
}

double quantile(std::vector<double> &values, double fraction)
{
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1));
    return values[index];
}

double threadSeconds()
{
    timespec time = {};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec)
            + static_cast<double>(time.tv_nsec) / NanosecondsPerSecond;
}

double heapBytes()
{
    const struct mallinfo2 info = ::mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

} // namespace gentiancross::benchmarks
