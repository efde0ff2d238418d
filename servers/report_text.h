#pragma once

#include "core/daily_report.h"

#include <optional>
#include <string>

namespace gentiancross::reporttext {

/** Texts and calculations shared by all formats of the daily report. All functions are reentrant.
 */
const char *verdictName(Verdict verdict);
const char *kindName(WorkKind kind);
/** Returns the kind with this name, if there is one. */
std::optional<WorkKind> parseKind(const std::string &name);
/** Returns the name of a class of work, such as "urgent short" or "batch". */
std::string className(const WorkClass &work);
/** Describes what a request waited for. */
const char *causeText(WaitCause cause);
/** Formats a duration, such as "250 ms", "2.1 s" or "30.0 min". */
std::string duration(Milliseconds span);
/** Returns the histogram bound below which \a percent of all waits lie, such as "up to 250 ms"; "-"
 * if there were no waits. */
std::string percentile(const WaitHistogram &waits, std::uint64_t percent);
/** Returns \a part as a percentage of \a whole, rounded down; 0 if \a whole is 0. */
std::uint64_t percentOf(std::uint64_t part, std::uint64_t whole);
/** Returns the percentage of all processors that was in use while work waited. */
std::uint64_t utilisationPercent(const UtilisationSamples &fit);
/** Parses a day given as "YYYY-MM-DD" in a time zone that is \a utcOffsetMinutes east of UTC. Empty
 * if the date is invalid or the offset is not a multiple of half an hour. */
std::optional<ReportDay> parseReportDay(const std::string &name, std::int64_t utcOffsetMinutes);

} // namespace gentiancross::reporttext
