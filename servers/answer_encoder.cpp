#include "servers/answer_encoder.h"

#include "core/error.h"
#include "drivers/codec.h"
#include "servers/json_fields.h"
#include "servers/report_html.h"
#include "servers/report_writer.h"
#include "servers/worker_codec.h"

namespace gentiancross {

namespace {

constexpr std::int64_t MillisecondsPerSecond = 1000;

HttpResponse jsonResponse(int status, const Json::Value &json,
                          const char *type = "application/json")
{
    HttpResponse response;
    response.status = status;
    response.headers["Content-Type"] = type;
    response.body = std::make_shared<const std::string>(codec::formatJson(json) + '\n');
    return response;
}

int statusOf(absl::StatusCode code)
{
    switch (code) {
    case absl::StatusCode::kInvalidArgument:
        return 400;
    case absl::StatusCode::kUnauthenticated:
        return 401;
    case absl::StatusCode::kNotFound:
        return 404;
    case absl::StatusCode::kAborted:
    case absl::StatusCode::kAlreadyExists:
        return 409;
    case absl::StatusCode::kFailedPrecondition:
        return HttpUnprocessable;
    case absl::StatusCode::kResourceExhausted:
        return 429;
    default:
        return 503;
    }
}

Json::Int64 number(std::int64_t value)
{
    return value;
}

HttpResponse encode(const ErrorAnswer &answer)
{
    Json::Value json;
    json["step"] = errorStep(answer.error);
    const std::string peer = errorPeer(answer.error);
    if (!peer.empty())
        json["peer"] = peer;
    json["message"] = std::string(answer.error.message());
    json["outcome"] = outcomeName(answer.notRun ? Outcome::NotRun : Outcome::Unknown);
    const int status = answer.misdirected ? HttpMisdirected : statusOf(answer.error.code());
    HttpResponse response = jsonResponse(status, json, "application/problem+json");
    response.headers["X-Outcome"] = json["outcome"].asString();
    if (answer.retryAfter.has_value())
        response.headers["Retry-After"] = std::to_string(
                std::max<std::int64_t>(1, answer.retryAfter->value() / MillisecondsPerSecond));
    return response;
}

int statusOf(const RequestAnswer &answer)
{
    switch (answer.outcome) {
    case Outcome::Done:
        return 200;
    case Outcome::Pending:
        return 202;
    case Outcome::NotRun:
        return 503;
    case Outcome::Failed:
        return 502;
    case Outcome::Unknown:
        return 504;
    case Outcome::Cancelled:
        return 409;
    }
    return 500;
}

HttpResponse encode(const RequestAnswer &answer)
{
    // A worker's result is passed to the caller byte for byte; the state of a job is encoded as
    // JSON.
    const bool isResult = answer.result != nullptr && !answer.acceptedForLater;
    HttpResponse response;
    if (isResult) {
        response.status = statusOf(answer);
        response.headers["Content-Type"] = "application/octet-stream";
        response.body = answer.result;
    } else {
        Json::Value json;
        json["request"] = answer.request.value();
        json["outcome"] = outcomeName(answer.outcome);
        if (!answer.reason.empty())
            json["reason"] = answer.reason;
        json["tasks"] = answer.taskCount;
        json["tasks_running"] = answer.tasksRunning;
        json["tasks_done"] = answer.tasksDone;
        // The state of an ended job is returned with status 200, whatever its outcome. Only for a
        // short request does the HTTP status reflect the outcome.
        const int status = answer.acceptedForLater && answer.outcome != Outcome::Pending
                ? 200
                : statusOf(answer);
        response = jsonResponse(status, json);
    }
    response.headers["X-Request-Name"] = answer.request.value();
    response.headers["X-Outcome"] = outcomeName(answer.outcome);
    return response;
}

HttpResponse encode(const ChangeAnswer &answer)
{
    Json::Value json;
    json["accepted"] = answer.accepted;
    if (!answer.message.empty())
        json["message"] = answer.message;
    json["version"] = number(static_cast<std::int64_t>(answer.version.value()));
    json["index"] = number(static_cast<std::int64_t>(answer.index.value()));
    Json::Value missing(Json::arrayValue);
    for (const HostId &host : answer.missing)
        missing.append(host.value());
    json["not_in_force_on"] = missing;
    if (!answer.accepted)
        return jsonResponse(answer.conflict ? 409 : 422, json);
    return jsonResponse(answer.missing.empty() ? 200 : 202, json);
}

HttpResponse encode(const TeamsAnswer &answer)
{
    Json::Value list(Json::arrayValue);
    for (const TeamView &team : answer.teams) {
        Json::Value json;
        json["team"] = team.team.value();
        json["weight"] = number(team.weight);
        json["version"] = number(static_cast<std::int64_t>(team.version.value()));
        json["limit_millicores"] = number(team.limit.value());
        json["limit_target_millicores"] = number(team.limitTarget.value());
        for (const auto &[dataCentre, part] : team.allotments)
            json["allotments"][dataCentre.value()] = number(part.value());
        json["keys"] = Json::Value(Json::arrayValue);
        for (const KeyId &key : team.keys)
            json["keys"].append(key.value());
        json["running_here_millicores"] = number(team.runningHere.value());
        json["queued_here"] = team.queuedHere;
        list.append(json);
    }
    Json::Value json;
    json["teams"] = list;
    return jsonResponse(200, json);
}

HttpResponse encode(const WorkersAnswer &answer)
{
    Json::Value list(Json::arrayValue);
    for (const WorkerView &worker : answer.workers) {
        Json::Value json;
        json["worker"] = worker.worker.value();
        json["address"] = worker.address;
        json["rack"] = worker.rack.value();
        json["capacity"] = resourcesToJson(worker.capacity);
        json["reserved"] = resourcesToJson(worker.reserved);
        json["state"] = worker.state;
        list.append(json);
    }
    Json::Value json;
    json["data_centre"] = answer.dataCentre.value();
    json["workers"] = list;
    return jsonResponse(200, json);
}

HttpResponse encode(const MembersAnswer &answer)
{
    Json::Value json;
    json["host"] = answer.self.value();
    json["term"] = number(static_cast<std::int64_t>(answer.term.value()));
    json["commit"] = number(static_cast<std::int64_t>(answer.commit.value()));
    for (const MemberView &member : answer.members) {
        Json::Value item;
        item["host"] = member.host.value();
        item["data_centre"] = member.dataCentre.value();
        item["replica"] = member.replica.value();
        item["voter"] = member.voter;
        item["leader"] = member.leader;
        item["applied"] = number(static_cast<std::int64_t>(member.applied.value()));
        json["members"].append(item);
    }
    json["authorities"] = Json::Value(Json::arrayValue);
    for (const AuthorityView &authority : answer.authorities) {
        Json::Value item;
        item["data_centre"] = authority.dataCentre.value();
        item["epoch"] = number(static_cast<std::int64_t>(authority.epoch.value()));
        item["host"] = hostOf(authority.replica).value();
        for (const ReplicaId &replica : authority.inSync)
            item["in_sync"].append(replica.value());
        json["authorities"].append(item);
    }
    return jsonResponse(200, json);
}

HttpResponse encode(const TimelineAnswer &answer)
{
    Json::Value list(Json::arrayValue);
    for (const TimelineEntry &entry : answer.entries) {
        Json::Value json;
        json["host"] = entry.host.value();
        json["order"] = number(static_cast<std::int64_t>(entry.order));
        json["wall_ms"] = number(entry.wall.value());
        json["subject"] = entry.subject;
        json["what"] = entry.what;
        list.append(json);
    }
    Json::Value json;
    json["entries"] = list;
    return jsonResponse(200, json);
}

HttpResponse encode(const LoadAnswer &answer)
{
    Json::Value json;
    json["authority"] = answer.authority;
    json["accepted"] = number(static_cast<std::int64_t>(answer.accepted));
    json["refused"] = number(static_cast<std::int64_t>(answer.refused));
    json["started"] = number(static_cast<std::int64_t>(answer.started));
    json["ended"] = number(static_cast<std::int64_t>(answer.ended));
    json["queued"] = number(static_cast<std::int64_t>(answer.queued));
    json["running"] = number(static_cast<std::int64_t>(answer.running));
    json["workers"] = number(static_cast<std::int64_t>(answer.workers));
    return jsonResponse(200, json);
}

HttpResponse encode(const ReadinessAnswer &answer)
{
    Json::Value json;
    json["ready"] = answer.ready;
    if (!answer.reason.empty())
        json["reason"] = answer.reason;
    return jsonResponse(answer.ready ? 200 : 503, json);
}

HttpResponse encode(const DailyReportAnswer &answer)
{
    if (answer.format == ReportFormat::Json)
        return jsonResponse(200, reportToJson(answer.page));
    const bool isHtml = answer.format == ReportFormat::Html;
    HttpResponse response;
    response.headers["Content-Type"]
            = isHtml ? "text/html; charset=utf-8" : "text/plain; charset=utf-8";
    response.body = std::make_shared<const std::string>(isHtml ? reportToHtml(answer.page)
                                                               : reportToText(answer.page));
    return response;
}

HttpResponse encode(const AnnouncementReply &answer)
{
    HttpResponse response;
    response.headers["Content-Type"] = "application/json";
    response.body = std::make_shared<const std::string>(workercodec::encodeReply(answer));
    return response;
}

} // namespace

const char *outcomeName(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Pending:
        return "pending";
    case Outcome::Done:
        return "done";
    case Outcome::NotRun:
        return "not run";
    case Outcome::Unknown:
        return "unknown";
    case Outcome::Failed:
        return "failed";
    case Outcome::Cancelled:
        return "cancelled";
    }
    return "unknown";
}

HttpResponse encodeAnswer(const Answer &answer)
{
    return std::visit([](const auto &typed) { return encode(typed); }, answer);
}

} // namespace gentiancross
