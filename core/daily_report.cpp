#include "core/daily_report.h"

namespace gentiancross {

namespace {

constexpr Milliseconds UrgentLimit{2'100};
constexpr Milliseconds ShortLimit{2'100};
constexpr Milliseconds ServiceLimit{60'000};
constexpr Milliseconds JobLimit{1'800'000};

constexpr std::int64_t MinutesPerDay = 1'440;
constexpr std::int64_t MinutesPerHour = 60;

std::string twoDigits(std::int64_t number)
{
    return (number < 10 ? "0" : "") + std::to_string(number);
}

} // namespace

std::string timeOfDay(const ReportDay &day, Milliseconds wall)
{
    const std::int64_t minutes = wall.value() / MinuteLength.value() + day.utcOffsetMinutes;
    const std::int64_t minute = (minutes % MinutesPerDay + MinutesPerDay) % MinutesPerDay;
    return twoDigits(minute / MinutesPerHour) + ':' + twoDigits(minute % MinutesPerHour);
}

Milliseconds waitLimitOf(const WaitLimits &limits, const WorkClass &work)
{
    const auto own = limits.find(work);
    if (own != limits.end())
        return own->second;
    const auto common = limits.find({TeamId(), work.kind, work.urgent});
    if (common != limits.end())
        return common->second;
    if (work.urgent)
        return UrgentLimit;
    switch (work.kind) {
    case WorkKind::Short:
        return ShortLimit;
    case WorkKind::Service:
        return ServiceLimit;
    case WorkKind::Batch:
    case WorkKind::Gang:
        return JobLimit;
    }
    return JobLimit;
}

} // namespace gentiancross
