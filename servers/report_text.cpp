#include "servers/report_text.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <vector>

namespace gentiancross::reporttext {

namespace {

constexpr std::array<const char *, 4> KindNames = {"short", "batch", "service", "gang"};
constexpr std::int64_t SecondLength = 1'000;
constexpr std::int64_t HourLength = 3'600'000;
constexpr std::int64_t MinutesPerDay = 1'440;
constexpr std::uint64_t Hundred = 100;
constexpr std::size_t DateLength = 10;

} // namespace

const char *verdictName(Verdict verdict)
{
    switch (verdict) {
    case Verdict::Good:
        return "good";
    case Verdict::Bad:
        return "bad";
    case Verdict::Incomplete:
        return "incomplete";
    }
    return "incomplete";
}

const char *kindName(WorkKind kind)
{
    return KindNames.at(static_cast<std::size_t>(kind));
}

std::optional<WorkKind> kindOf(const std::string &name)
{
    const auto found = std::find(KindNames.begin(), KindNames.end(), name);
    if (found == KindNames.end())
        return std::nullopt;
    return static_cast<WorkKind>(found - KindNames.begin());
}

std::string className(const WorkClass &work)
{
    return (work.urgent ? "urgent " : "") + std::string(kindName(work.kind));
}

const char *causeText(WaitCause cause)
{
    switch (cause) {
    case WaitCause::Nothing:
        return "nothing in particular";
    case WaitCause::OwnTeam:
        return "other work of its team went first";
    case WaitCause::TeamLimit:
        return "its team's upper limit";
    case WaitCause::FreeCapacity:
        return "no worker had room for it";
    case WaitCause::AuthorityMoved:
        return "its data centre's authority moved";
    case WaitCause::NeverStarted:
        return "it ended without a start";
    }
    return "unknown";
}

std::string duration(Milliseconds span)
{
    const std::int64_t value = span.value();
    if (value < SecondLength)
        return absl::StrFormat("%d ms", value);
    if (value < MinuteLength.value())
        return absl::StrFormat("%.1f s", static_cast<double>(value) / SecondLength);
    if (value < HourLength)
        return absl::StrFormat(
                "%.1f min", static_cast<double>(value) / static_cast<double>(MinuteLength.value()));
    return absl::StrFormat("%.1f h", static_cast<double>(value) / HourLength);
}

std::string percentile(const WaitHistogram &waits, std::uint64_t percent)
{
    const std::uint64_t all = sumOf(waits);
    if (all == 0)
        return "-";
    std::uint64_t seen = 0;
    for (std::size_t slot = 0; slot < WaitBounds.size(); ++slot) {
        seen += waits[slot];
        if (seen * Hundred >= all * percent)
            return "up to " + duration(WaitBounds[slot]);
    }
    return "over " + duration(WaitBounds.back());
}

std::uint64_t percentOf(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0 : part * Hundred / whole;
}

std::uint64_t utilisationPercent(const UtilisationSamples &fit)
{
    return percentOf(static_cast<std::uint64_t>(fit.used), static_cast<std::uint64_t>(fit.usable));
}

std::optional<ReportDay> dayOf(const std::string &name, std::int64_t utcOffsetMinutes)
{
    const std::vector<std::string> parts = absl::StrSplit(name, '-');
    int year = 0;
    int month = 0;
    int dayOfMonth = 0;
    const bool isDate = parts.size() == 3 && name.size() == DateLength
            && absl::SimpleAtoi(parts[0], &year) && absl::SimpleAtoi(parts[1], &month)
            && absl::SimpleAtoi(parts[2], &dayOfMonth) && month > 0 && dayOfMonth > 0;
    if (!isDate)
        return std::nullopt;
    const std::chrono::year_month_day date{std::chrono::year(year),
                                           std::chrono::month(static_cast<unsigned>(month)),
                                           std::chrono::day(static_cast<unsigned>(dayOfMonth))};
    const std::int64_t days
            = date.ok() ? std::chrono::sys_days(date).time_since_epoch().count() : 0;
    const std::int64_t minutes = days * MinutesPerDay - utcOffsetMinutes;
    const auto perHalfHour = static_cast<std::int64_t>(MinutesPerHalfHour);
    if (days <= 0 || utcOffsetMinutes % perHalfHour != 0)
        return std::nullopt;
    return ReportDay{name, HalfHour(static_cast<std::uint64_t>(minutes / perHalfHour)),
                     utcOffsetMinutes};
}

} // namespace gentiancross::reporttext
