#include "tests/runner/page_check.h"

#include "drivers/codec.h"
#include "tests/runner/sender.h"

#include <absl/strings/str_cat.h>

#include <chrono>
#include <map>

namespace gentiancross::tests {

namespace {

constexpr std::int64_t MinutesPerDay = 1'440;
constexpr std::int64_t Noon = 720;
constexpr std::int64_t HalfHourMinutes = 30;

struct DayNow
{
    std::string name;
    std::int64_t offset = 0;
};

DayNow dayWithNoonNow()
{
    using namespace std::chrono;
    const std::int64_t minutes
            = duration_cast<std::chrono::minutes>(system_clock::now().time_since_epoch()).count();
    DayNow day;
    day.offset = (Noon - minutes % MinutesPerDay) / HalfHourMinutes * HalfHourMinutes;
    const year_month_day date{sys_days(days((minutes + day.offset) / MinutesPerDay))};
    const auto two
            = [](unsigned number) { return (number < 10 ? "0" : "") + std::to_string(number); };
    day.name = absl::StrCat(static_cast<int>(date.year()), "-",
                            two(static_cast<unsigned>(date.month())), "-",
                            two(static_cast<unsigned>(date.day())));
    return day;
}

std::map<std::string, std::uint64_t> totalsOf(const Json::Value &page)
{
    std::map<std::string, std::uint64_t> totals;
    for (const char *name : {"accepted", "ended", "open", "too-long", "told"})
        totals[name] = 0;
    for (const Json::Value &row : page["classes"]) {
        totals["accepted"] += row["accepted"].asUInt64();
        totals["open"] += row["open"].asUInt64();
        totals["too-long"] += row["too_long"].asUInt64();
        for (const std::string &outcome : row["ended"].getMemberNames())
            totals["ended"] += row["ended"][outcome].asUInt64();
    }
    for (const Json::Value &row : page["data_centres"])
        totals["told"] += row["told"].asBool() ? 1 : 0;
    return totals;
}

} // namespace

std::string PageCheck::fetch(const std::string &format) const
{
    const DayNow day = dayWithNoonNow();
    const std::string path = absl::StrCat("/v1/report?day=", day.name, "&format=", format,
                                          "&utc_offset_minutes=", day.offset);
    const HttpResult result = callAndWait("GET", m_fleet.entry(m_host), path, OperatorKey, {});
    return result.response.body == nullptr ? std::string() : *result.response.body;
}

std::string PageCheck::compare(const ScenarioLine &line) const
{
    Json::Value page;
    if (!codec::parseJson(fetch("json"), page) || !page.isObject() || !page.isMember("verdict"))
        return "no page came";
    std::string wrong;
    if (line.options.contains("verdict") && line.option("verdict") != page["verdict"].asString())
        absl::StrAppend(&wrong, " verdict=", page["verdict"].asString());
    for (const auto &[name, total] : totalsOf(page)) {
        const bool isAsked = line.options.contains(name);
        if (isAsked && static_cast<std::uint64_t>(line.number64(name, 0)) != total)
            absl::StrAppend(&wrong, " ", name, "=", total);
    }
    for (const Json::Value &gap : page["gaps"]) {
        if (gap.asString().find("add up") != std::string::npos
            || gap.asString().find("differ") != std::string::npos)
            absl::StrAppend(&wrong, " (", gap.asString(), ")");
    }
    return wrong;
}

} // namespace gentiancross::tests
