#include "servers/report_writer.h"

#include "servers/answer_encoder.h"
#include "servers/report_text.h"

#include <absl/strings/str_format.h>

namespace gentiancross {

using namespace reporttext;

namespace {

Json::UInt64 number(std::uint64_t value)
{
    return value;
}

Json::Value texts(const std::vector<std::string> &lines)
{
    Json::Value list(Json::arrayValue);
    for (const std::string &line : lines)
        list.append(line);
    return list;
}

Json::Value fitToJson(const UtilisationSamples &fit)
{
    Json::Value json;
    json["seconds"] = number(fit.all);
    json["seconds_work_waited"] = number(fit.waiting);
    json["used_percent_while_work_waited"] = number(utilisationPercent(fit));
    return json;
}

std::string fitText(const UtilisationSamples &fit)
{
    if (fit.waiting == 0)
        return "no work waited for room";
    return absl::StrFormat("work waited in %d of %d seconds, with %d %% of all processors in use",
                           fit.waiting, fit.all, utilisationPercent(fit));
}

Json::Value classToJson(const ClassRow &row)
{
    Json::Value json;
    json["team"] = row.work.team.value();
    json["kind"] = kindName(row.work.kind);
    json["urgent"] = row.work.urgent;
    json["accepted"] = number(row.cell.accepted);
    json["started"] = number(row.cell.started);
    json["never_started"] = number(row.cell.neverStarted);
    json["open"] = number(row.open);
    json["ended"] = Json::Value(Json::objectValue);
    for (const auto &[outcome, count] : row.cell.ended)
        json["ended"][outcomeName(outcome)] = number(count);
    for (std::size_t slot = 0; slot < row.cell.waits.size(); ++slot) {
        Json::Value wait;
        if (slot < WaitBounds.size())
            wait["up_to_ms"] = Json::Int64(WaitBounds[slot].value());
        wait["count"] = number(row.cell.waits[slot]);
        json["waits"].append(wait);
    }
    json["limit_ms"] = Json::Int64(row.bound.value());
    json["too_long"] = number(row.tooLong);
    json["bad"] = row.isBad;
    return json;
}

Json::Value timeToJson(const DailyReport &page, const TimeRow &row)
{
    Json::Value json;
    json["from"] = timeOfDay(page.day, beginOf(row.halfHour));
    json["accepted"] = Json::Value(Json::objectValue);
    for (const auto &[kind, count] : row.accepted)
        json["accepted"][kindName(kind)] = number(count);
    json["too_long"] = number(row.tooLong);
    json["minutes_past"] = number(row.minutesPast);
    json["minutes_covered"] = number(row.minutesCovered);
    return json;
}

Json::Value waitToJson(const LongWait &wait)
{
    Json::Value json;
    json["request"] = wait.request.value();
    json["team"] = wait.work.team.value();
    json["kind"] = kindName(wait.work.kind);
    json["accepted_wall_ms"] = Json::Int64(wait.acceptedAtWall.value());
    json["waited_ms"] = Json::Int64(wait.waited.value());
    json["cause"] = causeText(wait.cause);
    return json;
}

} // namespace

Json::Value reportToJson(const DailyReport &page)
{
    Json::Value json;
    json["day"] = page.day.name;
    json["utc_offset_minutes"] = Json::Int64(page.day.utcOffsetMinutes);
    json["made_wall_ms"] = Json::Int64(page.madeAtWall.value());
    json["over"] = page.isOver;
    json["verdict"] = verdictName(page.verdict);
    json["gaps"] = texts(page.gaps);
    json["faults"] = texts(page.faults);
    json["refused"] = number(page.facts.refused);
    json["fit"] = fitToJson(page.facts.fit);
    for (const char *list : {"classes", "times", "shares", "data_centres", "longest_waits"})
        json[list] = Json::Value(Json::arrayValue);
    for (const ClassRow &row : page.classes)
        json["classes"].append(classToJson(row));
    for (const TimeRow &row : page.times)
        json["times"].append(timeToJson(page, row));
    for (const ShareRow &row : page.shares) {
        Json::Value share;
        share["team"] = row.team.value();
        share["seconds_wanting_more"] = number(row.samples.wantingMore);
        share["seconds_short"] = number(row.samples.belowFairShare);
        share["worst_lack_thousandths"] = Json::Int64(row.samples.worstShortfallPermille);
        share["bad"] = row.isBad;
        json["shares"].append(share);
    }
    for (const DataCentreRow &row : page.dataCentres) {
        Json::Value centre;
        centre["data_centre"] = row.dataCentre.value();
        centre["told"] = row.hasReported;
        centre["accepted"] = number(row.accepted);
        centre["fit"] = fitToJson(row.fit);
        json["data_centres"].append(centre);
    }
    for (const LongWait &wait : page.facts.longest)
        json["longest_waits"].append(waitToJson(wait));
    return json;
}

std::string reportToText(const DailyReport &page)
{
    std::string text = absl::StrFormat("%s: %s%s\n", page.day.name, verdictName(page.verdict),
                                       page.isOver ? "" : " so far");
    for (const std::string &gap : page.gaps)
        absl::StrAppendFormat(&text, "  incomplete: %s\n", gap);
    for (const std::string &fault : page.faults)
        absl::StrAppendFormat(&text, "  bad: %s\n", fault);
    absl::StrAppendFormat(&text, "\n%-16s %-14s %9s %8s %8s %8s %6s  %-14s %-14s %s\n", "team",
                          "kind", "accepted", "done", "not run", "other", "open", "half within",
                          "99 % within", "too long");
    for (const ClassRow &row : page.classes) {
        const std::uint64_t done = endedWith(row.cell, Outcome::Done);
        const std::uint64_t notRun = endedWith(row.cell, Outcome::NotRun);
        absl::StrAppendFormat(&text, "%-16s %-14s %9d %8d %8d %8d %6d  %-14s %-14s %d (> %s)\n",
                              row.work.team.value(), className(row.work), row.cell.accepted, done,
                              notRun, endedOf(row.cell) - done - notRun, row.open,
                              percentile(row.cell.waits, 50), percentile(row.cell.waits, 99),
                              row.tooLong, duration(row.bound));
    }
    absl::StrAppendFormat(&text, "\nfit: %s; %d requests were refused\n", fitText(page.facts.fit),
                          page.facts.refused);
    for (const ShareRow &row : page.shares)
        absl::StrAppendFormat(&text,
                              "share: %s was short in %d of %d seconds in which it wanted "
                              "more\n",
                              row.team.value(), row.samples.belowFairShare,
                              row.samples.wantingMore);
    for (const LongWait &wait : page.facts.longest)
        absl::StrAppendFormat(&text, "waited %s: %s (%s), accepted at %s; for: %s\n",
                              duration(wait.waited), wait.request.value(), className(wait.work),
                              timeOfDay(page.day, wait.acceptedAtWall), causeText(wait.cause));
    return text;
}

} // namespace gentiancross
