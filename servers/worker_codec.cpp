#include "servers/worker_codec.h"

#include "core/error.h"
#include "drivers/codec.h"
#include "servers/json_fields.h"
#include "servers/socket_address.h"

#include <algorithm>
#include <cctype>

namespace gentiancross::workercodec {

namespace {

RunningTask decodeRunning(const Json::Value &json, JsonFields &parent)
{
    RunningTask running;
    JsonFields fields(json);
    fields.read("task", running.task);
    fields.read("team", running.team);
    fields.read("reserved", running.reserved);
    fields.read("used_millicores", running.usedCores);
    fields.read("used_memory_mib", running.usedMemory);
    fields.require("task", running.task.value());
    if (!fields.error().empty())
        parent.fail("running: " + fields.error());
    return running;
}

FinishedTask decodeFinished(const Json::Value &json, JsonFields &parent)
{
    FinishedTask finished;
    JsonFields fields(json);
    fields.read("task", finished.task);
    fields.read("succeeded", finished.succeeded);
    fields.read("ran_ms", finished.ranFor);
    fields.require("task", finished.task.value());
    if (!fields.error().empty())
        parent.fail("finished: " + fields.error());
    return finished;
}

/** Several workers may share a port, each with a base path of its own. */
bool isHttpAddress(std::string_view text)
{
    constexpr std::string_view Scheme = "http://";
    if (!text.starts_with(Scheme))
        return false;
    text.remove_prefix(Scheme.size());
    const std::size_t path = std::min(text.find('/'), text.size());
    const bool isPathPrintable = std::all_of(text.begin() + path, text.end(),
                                             [](unsigned char c) { return std::isgraph(c) != 0; });
    return isPathPrintable && parseSocketAddress(text.substr(0, path)).has_value();
}

Json::Value idList(const std::vector<TaskId> &tasks)
{
    Json::Value list(Json::arrayValue);
    for (const TaskId &task : tasks)
        list.append(task.value());
    return list;
}

} // namespace

absl::StatusOr<Announcement> decodeAnnouncement(const std::string &text)
{
    Json::Value json;
    if (!codec::parseJson(text, json))
        return makeError(absl::StatusCode::kInvalidArgument, Step::Decode, "",
                         "the body is not JSON");
    Announcement announcement;
    JsonFields fields(json);
    fields.read("worker", announcement.worker);
    fields.read("address", announcement.address);
    fields.read("data_centre", announcement.dataCentre);
    fields.read("rack", announcement.rack);
    fields.read("capacity", announcement.capacity);
    fields.read("connections", announcement.connections);
    fields.read("labels", announcement.labels);
    fields.read("session", announcement.session);
    fields.read("now_ms", announcement.workerNow);
    fields.read("epoch", announcement.epoch);
    fields.read("leaving", announcement.leaving);
    for (const Json::Value &item : fields.list("running"))
        announcement.running.push_back(decodeRunning(item, fields));
    for (const Json::Value &item : fields.list("finished"))
        announcement.finished.push_back(decodeFinished(item, fields));
    fields.require("worker", announcement.worker.value());
    fields.require("address", announcement.address);
    fields.require("data_centre", announcement.dataCentre.value());
    fields.require("session", announcement.session.value());
    if (!isHttpAddress(announcement.address))
        fields.fail("address must be http://IP:PORT[/PATH]");
    if (!fields.error().empty())
        return makeError(absl::StatusCode::kInvalidArgument, Step::Decode, "", fields.error());
    return announcement;
}

std::string encodeReply(const AnnouncementReply &reply)
{
    Json::Value json;
    if (!reply.announceTo.empty()) {
        json["announce_to"] = reply.announceTo;
        return codec::formatJson(json);
    }
    json["epoch"] = static_cast<Json::UInt64>(reply.epoch.value());
    json["lease_until_ms"] = static_cast<Json::Int64>(reply.leaseUntil.value());
    json["stop"] = idList(reply.stop);
    json["acknowledged"] = idList(reply.acknowledged);
    json["checkpoint"] = idList(reply.checkpoint);
    json["throttle"] = idList(reply.throttle);
    return codec::formatJson(json);
}

std::string encodeOrder(const StartOrder &order)
{
    Json::Value json;
    json["task"] = order.task.value();
    json["team"] = order.team.value();
    json["epoch"] = static_cast<Json::UInt64>(order.epoch.value());
    json["session"] = order.session.value();
    json["not_after_ms"] = static_cast<Json::Int64>(order.notAfter.value());
    json["lease_until_ms"] = static_cast<Json::Int64>(order.leaseUntil.value());
    json["reserved"] = resourcesToJson(order.reserved);
    json["answer_with_result"] = order.answerWithResult;
    return codec::formatJson(json);
}

} // namespace gentiancross::workercodec
