#include "tests/runner/outcome_table.h"

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <map>
#include <string>

namespace gentiancross::tests {

void printOutcomes(const std::vector<SentRequest> &requests)
{
    struct Row
    {
        std::map<std::string, int> outcomes;
        std::vector<std::int64_t> times;
    };
    std::map<std::pair<std::string, std::string>, Row> rows;
    for (const SentRequest &request : requests) {
        Row &row = rows[{request.kind, request.team}];
        ++row.outcomes[request.outcome];
        row.times.push_back(request.endedAt - request.sentAt);
    }
    std::cout << "\nkind      team      asked   done  later  not run  unknown  other   p50 ms   "
                 "p99 ms  worst ms\n";
    for (auto &[name, row] : rows) {
        std::sort(row.times.begin(), row.times.end());
        const std::size_t count = row.times.size();
        const int reported = row.outcomes["done"] + row.outcomes["pending"]
                + row.outcomes["not run"] + row.outcomes["unknown"];
        std::cout << std::left << std::setw(10) << name.first << std::setw(9) << name.second
                  << std::right << std::setw(6) << count << std::setw(7) << row.outcomes["done"]
                  << std::setw(7) << row.outcomes["pending"] << std::setw(9)
                  << row.outcomes["not run"] << std::setw(9) << row.outcomes["unknown"]
                  << std::setw(7) << static_cast<int>(count) - reported << std::setw(9)
                  << row.times[count / 2] << std::setw(9) << row.times[count * 99 / 100]
                  << std::setw(10) << row.times.back() << '\n';
    }
    std::cout << std::endl;
}

} // namespace gentiancross::tests
