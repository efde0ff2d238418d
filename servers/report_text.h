#pragma once

#include "core/daily_report.h"

#include <optional>
#include <string>

namespace gentiancross::reporttext {

/** Words of the evening page that all its formats share. All functions are reentrant. */
const char *verdictName(Verdict verdict);
const char *kindName(WorkKind kind);
/** The kind of that name, if there is one. */
std::optional<WorkKind> kindOf(const std::string &name);
/** "urgent short", "batch" and so on. */
std::string className(const WorkClass &work);
/** What a request waited for, in words for people. */
const char *causeText(WaitCause cause);
/** "250 ms", "2.1 s", "30 min". */
std::string duration(Milliseconds span);
/** The bound below which \a percent of all waits lie: "up to 250 ms"; "-" if there are none. */
std::string percentile(const WaitHistogram &waits, std::uint64_t percent);
/** \a part of \a whole in percent, rounded down; 0 if there is no whole. */
std::uint64_t percentOf(std::uint64_t part, std::uint64_t whole);
/** How much of all processors was in use while work waited, in percent. */
std::uint64_t utilisationPercent(const UtilisationSamples &fit);
/** The day that "YYYY-MM-DD" names in a time zone some minutes east of UTC, if it is one. */
std::optional<ReportDay> dayOf(const std::string &name, std::int64_t utcOffsetMinutes);

} // namespace gentiancross::reporttext
