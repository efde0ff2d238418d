#include "control/admission/stored_work_log.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace gentiancross {

namespace {

constexpr Milliseconds LineInterval{5000};
constexpr std::int64_t StepsPerLimit = 8;

} // namespace

void StoredWorkLog::tick(Instant now, const StoredWork &work, Outbox &out)
{
    const std::int64_t step = work.total().value() * StepsPerLimit / work.limit().value();
    if (step == m_loggedStep || now < m_nextLine)
        return;
    m_loggedStep = step;
    m_nextLine = now + LineInterval;
    const auto &teams = work.teams();
    const auto largest
            = std::max_element(teams.begin(), teams.end(), [](const auto &left, const auto &right) {
                  return left.second < right.second;
              });
    std::string line = absl::StrCat("held_bytes=", work.total().value(),
                                    " limit_bytes=", work.limit().value(), " jobs=", work.jobs());
    if (largest != teams.end())
        absl::StrAppend(&line, " largest_team=", largest->first.value(),
                        " team_bytes=", largest->second.value());
    out.note("stored jobs", std::move(line));
}

} // namespace gentiancross
