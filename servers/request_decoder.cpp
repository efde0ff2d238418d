#include "servers/request_decoder.h"

#include "core/error.h"
#include "drivers/codec.h"
#include "drivers/random.h"
#include "servers/json_fields.h"
#include "servers/report_text.h"
#include "servers/worker_codec.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>
#include <optional>
#include <vector>

namespace gentiancross {

namespace {

constexpr std::size_t MaxNameLength = 128;
constexpr Milliseconds MaxDeadline{600'000};
constexpr char BearerPrefix[] = "Bearer ";

using Path = std::vector<std::string>;

absl::Status badRequest(const std::string &message)
{
    return makeError(absl::StatusCode::kInvalidArgument, Step::Decode, "", message);
}

absl::StatusOr<CallerIdentity> decodeCaller(const HttpRequest &request, const RequestOrigin &origin)
{
    const std::string authorization = request.header("authorization");
    if (!authorization.starts_with(BearerPrefix))
        return makeError(absl::StatusCode::kUnauthenticated, Step::Authenticate, "",
                         "send the key in the header \"Authorization: Bearer KEY\"");
    const std::string key = authorization.substr(sizeof(BearerPrefix) - 1);
    return CallerIdentity{hashKey(key, origin.fleetSecret), origin.fromPeer};
}

absl::Status validateSpec(const WorkSpec &spec)
{
    if (spec.taskCount < 1 || spec.taskCount > MaxTasksPerRequest)
        return badRequest("tasks must be from 1 to 10000");
    if (spec.kind == WorkKind::Short && spec.taskCount != 1)
        return badRequest("a short request is one task");
    if (spec.perTask.cores < MilliCores(1))
        return badRequest("resources.millicores must be 1 or more");
    if (spec.deadline < Milliseconds(1) || spec.deadline > MaxDeadline)
        return badRequest("deadline_ms must be from 1 to 600000");
    return absl::OkStatus();
}

absl::StatusOr<WorkSpec> decodeSpec(const std::string &text)
{
    Json::Value json;
    if (!codec::parseJson(text, json))
        return badRequest("the body is not JSON");
    WorkSpec spec;
    spec.perTask.cores = MilliCores(1000);
    spec.perTask.slots = Slots(1);
    std::string kind = "short";
    JsonFields fields(json);
    fields.read("kind", kind);
    fields.read("resources", spec.perTask);
    fields.read("tasks", spec.taskCount);
    fields.read("selector", spec.selector);
    fields.read("deadline_ms", spec.deadline);
    fields.read("run_ms", spec.declaredRunTime);
    fields.read("urgent", spec.urgent);
    fields.read("idempotent", spec.idempotent);
    fields.read("payload", spec.payload.bytes);
    const std::optional<WorkKind> known = reporttext::parseKind(kind);
    if (!known.has_value())
        fields.fail("kind must be short, batch, service or gang");
    if (!fields.error().empty())
        return badRequest(fields.error());
    spec.kind = *known;
    const absl::Status status = validateSpec(spec);
    if (!status.ok())
        return status;
    return spec;
}

absl::StatusOr<std::string> requestName(const HttpRequest &request, const RequestOrigin &origin)
{
    const std::string forwarded = request.header(RequestNameHeader);
    if (origin.fromPeer && !forwarded.empty())
        return forwarded;
    std::string name = request.header(IdempotencyHeader);
    if (name.empty())
        return name;
    const std::size_t slash = name.find('/');
    const std::string dataCentre = slash == std::string::npos ? "any" : name.substr(0, slash);
    const std::string local = slash == std::string::npos ? name : name.substr(slash + 1);
    if (!isName(dataCentre) || !isName(local) || local.starts_with('~'))
        return badRequest("Idempotency-Key must be NAME or DATA-CENTRE/NAME, of letters, digits, "
                          "'.', '_' and '-'");
    return name;
}

absl::StatusOr<EventPayload> decodeSubmit(const HttpRequest &request, const RequestOrigin &origin,
                                          const CallerIdentity &caller)
{
    absl::StatusOr<WorkSpec> spec = decodeSpec(request.body);
    if (!spec.ok())
        return spec.status();
    absl::StatusOr<std::string> name = requestName(request, origin);
    if (!name.ok())
        return name.status();
    std::int64_t remaining = 0;
    if (origin.fromPeer && absl::SimpleAtoi(request.header(RemainingTimeHeader), &remaining))
        spec->deadline
                = std::min(spec->deadline, std::max(Milliseconds(remaining), Milliseconds(1)));
    const bool hasEarlierAttempt
            = origin.fromPeer && request.headers.contains(EarlierAttemptHeader);
    return SubmitReceived{origin.exchange, caller, *std::move(name), *std::move(spec),
                          hasEarlierAttempt};
}

absl::StatusOr<EventPayload> decodeRequests(const HttpRequest &request, const RequestOrigin &origin,
                                            const Path &path)
{
    absl::StatusOr<CallerIdentity> caller = decodeCaller(request, origin);
    if (!caller.ok())
        return caller.status();
    if (path.size() == 2 && request.method == "POST")
        return decodeSubmit(request, origin, *caller);
    if (path.size() == 3 && !isFullName(path[2]))
        return badRequest("a request's full name is DATA-CENTRE:TEAM:NAME");
    if (path.size() == 3 && request.method == "GET")
        return StatusReceived{origin.exchange, *caller, RequestId(path[2])};
    if (path.size() == 3 && request.method == "DELETE")
        return CancelReceived{origin.exchange, *caller, RequestId(path[2])};
    return makeError(absl::StatusCode::kNotFound, Step::Decode, "",
                     "POST, or GET or DELETE with a request's name");
}

/** Creates the event of an operator's change. Changes need a name; if the operator gave none, a
 * unique one is generated, and such a change can't be resent. */
absl::StatusOr<EventPayload>
makeChangeEvent(const HttpRequest &request, const RequestOrigin &origin,
                const CallerIdentity &caller,
                std::variant<ReplicatedCommand, std::set<HostId>> change)
{
    absl::StatusOr<std::string> name = requestName(request, origin);
    if (!name.ok())
        return name.status();
    if (name->empty())
        *name = '~' + generateUniqueName();
    const bool waitForForce = request.header("prefer") != "respond-async";
    return OperatorChangeReceived{origin.exchange, caller, *std::move(name), std::move(change),
                                  waitForForce};
}

absl::StatusOr<EventPayload> decodePutTeam(const HttpRequest &request, const RequestOrigin &origin,
                                           const CallerIdentity &caller, const std::string &team)
{
    Json::Value json;
    if (!codec::parseJson(request.body, json))
        return badRequest("the body is not JSON");
    PutTeam command;
    command.team = TeamId(team);
    Milliseconds weight(1);
    JsonFields fields(json);
    fields.read("expected_version", command.expected);
    fields.read("weight", weight);
    fields.read("limit_millicores", command.limit);
    if (!fields.error().empty())
        return badRequest(fields.error());
    command.weight = weight.value();
    return makeChangeEvent(request, origin, caller, ReplicatedCommand(command));
}

absl::StatusOr<EventPayload> decodeKey(const HttpRequest &request, const RequestOrigin &origin,
                                       const CallerIdentity &caller, const TeamId &team,
                                       const KeyId &key)
{
    if (request.method == "DELETE")
        return makeChangeEvent(request, origin, caller, ReplicatedCommand(RevokeKey{team, key}));
    Json::Value json;
    if (!codec::parseJson(request.body, json))
        return badRequest("the body is not JSON");
    std::string secret;
    JsonFields fields(json);
    fields.read("secret", secret);
    fields.require("secret", secret);
    if (!fields.error().empty())
        return badRequest(fields.error());
    return makeChangeEvent(
            request, origin, caller,
            ReplicatedCommand(GrantKey{team, key, hashKey(secret, origin.fleetSecret)}));
}

absl::StatusOr<EventPayload> decodeTeams(const HttpRequest &request, const RequestOrigin &origin,
                                         const CallerIdentity &caller, const Path &path)
{
    if (path.size() == 2 && request.method == "GET")
        return QueryReceived{origin.exchange, caller, QueryKind::Teams};
    if (path.size() < 3 || !isName(path[2]))
        return badRequest("a team's name has letters, digits, '.', '_' and '-'");
    if (path.size() == 3 && request.method == "PUT")
        return decodePutTeam(request, origin, caller, path[2]);
    const bool isKey = path.size() == 5 && path[3] == "keys" && isName(path[4]);
    if (isKey && (request.method == "PUT" || request.method == "DELETE"))
        return decodeKey(request, origin, caller, TeamId(path[2]), KeyId(path[4]));
    return makeError(absl::StatusCode::kNotFound, Step::Decode, "", "no such path below /v1/teams");
}

absl::StatusOr<EventPayload> decodeMembers(const HttpRequest &request, const RequestOrigin &origin,
                                           const CallerIdentity &caller)
{
    if (request.method == "GET")
        return QueryReceived{origin.exchange, caller, QueryKind::Members};
    Json::Value json;
    if (!codec::parseJson(request.body, json))
        return badRequest("the body is not JSON");
    std::set<HostId> voters;
    JsonFields fields(json);
    for (const Json::Value &host : fields.list("voters")) {
        if (!host.isString())
            return badRequest("voters must be a list of hosts' names");
        voters.insert(HostId(host.asString()));
    }
    if (!fields.error().empty())
        return badRequest(fields.error());
    return makeChangeEvent(request, origin, caller, voters);
}

absl::StatusOr<EventPayload> decodeDeclareLost(const HttpRequest &request,
                                               const RequestOrigin &origin,
                                               const CallerIdentity &caller,
                                               const std::string &dataCentre)
{
    Json::Value json;
    if (!codec::parseJson(request.body, json))
        return badRequest("the body is not JSON");
    DeclareAuthorityLost command;
    command.dataCentre = DataCentreId(dataCentre);
    JsonFields fields(json);
    fields.read("epoch", command.epoch);
    if (!fields.error().empty())
        return badRequest(fields.error());
    return makeChangeEvent(request, origin, caller, ReplicatedCommand(command));
}

absl::StatusOr<EventPayload> decodeWaitLimit(const HttpRequest &request,
                                             const RequestOrigin &origin,
                                             const CallerIdentity &caller, const std::string &kind)
{
    const std::optional<WorkKind> known = reporttext::parseKind(kind);
    if (!known.has_value())
        return badRequest("kind must be short, batch, service or gang");
    Json::Value json;
    if (!codec::parseJson(request.body, json))
        return badRequest("the body is not JSON");
    SetWaitLimit command;
    command.work.kind = *known;
    JsonFields fields(json);
    fields.read("team", command.work.team);
    fields.read("urgent", command.work.urgent);
    fields.read("limit_ms", command.limit);
    if (!fields.error().empty())
        return badRequest(fields.error());
    return makeChangeEvent(request, origin, caller, ReplicatedCommand(command));
}

absl::StatusOr<EventPayload> decodeReportRequest(const HttpRequest &request,
                                                 const RequestOrigin &origin,
                                                 const CallerIdentity &caller)
{
    constexpr std::array<const char *, 3> Formats = {"html", "text", "json"};
    const auto option = [&](const char *name, const char *defaultValue) {
        const auto found = request.query.find(name);
        return found == request.query.end() ? std::string(defaultValue) : found->second;
    };
    std::int64_t offset = 0;
    const bool isValidOffset = absl::SimpleAtoi(option("utc_offset_minutes", "0"), &offset)
            && offset >= -MaxUtcOffsetMinutes && offset <= MaxUtcOffsetMinutes;
    const std::optional<ReportDay> day
            = isValidOffset ? reporttext::parseReportDay(option("day", ""), offset) : std::nullopt;
    if (!day.has_value())
        return badRequest("day must be YYYY-MM-DD, and utc_offset_minutes a multiple of 30");
    const std::string wanted = option("format", "html");
    const auto format = std::find(Formats.begin(), Formats.end(), wanted);
    if (format == Formats.end())
        return badRequest("format must be html, text or json");
    return DailyReportRequested{origin.exchange, caller, *day,
                                static_cast<ReportFormat>(format - Formats.begin())};
}

absl::StatusOr<EventPayload> decodeOperatorRequest(const HttpRequest &request,
                                                   const RequestOrigin &origin, const Path &path)
{
    absl::StatusOr<CallerIdentity> caller = decodeCaller(request, origin);
    if (!caller.ok())
        return caller.status();
    const std::string &subject = path[1];
    if (subject == "teams")
        return decodeTeams(request, origin, *caller, path);
    if (subject == "members" && path.size() == 2)
        return decodeMembers(request, origin, *caller);
    if (subject == "report" && path.size() == 2 && request.method == "GET")
        return decodeReportRequest(request, origin, *caller);
    if (subject == "wait-limits" && path.size() == 3 && request.method == "PUT")
        return decodeWaitLimit(request, origin, *caller, path[2]);
    if (subject == "data-centres" && path.size() == 4 && isName(path[2])
        && path[3] == "declare-lost" && request.method == "POST")
        return decodeDeclareLost(request, origin, *caller, path[2]);
    if (path.size() == 2 && request.method == "GET") {
        if (subject == "workers")
            return QueryReceived{origin.exchange, *caller, QueryKind::Workers};
        if (subject == "load")
            return QueryReceived{origin.exchange, *caller, QueryKind::Load};
        if (subject == "timeline")
            return QueryReceived{origin.exchange, *caller, QueryKind::Timeline};
    }
    return makeError(absl::StatusCode::kNotFound, Step::Decode, "", "no such path");
}

} // namespace

bool isFullName(const std::string &name)
{
    const std::vector<std::string> parts = absl::StrSplit(name, ':');
    if (parts.size() != 3)
        return false;
    const std::string local = parts[2].starts_with('~') ? parts[2].substr(1) : parts[2];
    return isName(parts[0]) && isName(parts[1]) && isName(local);
}

bool isName(const std::string &name)
{
    if (name.empty() || name.size() > MaxNameLength)
        return false;
    return std::all_of(name.begin(), name.end(), [](unsigned char character) {
        return std::isalnum(character) != 0 || character == '.' || character == '_'
                || character == '-';
    });
}

absl::StatusOr<EventPayload> decodeRequest(const HttpRequest &request, const RequestOrigin &origin)
{
    if (request.path == "/readyz")
        return ReadinessRequested{origin.exchange};
    const Path path = absl::StrSplit(request.path, '/', absl::SkipEmpty());
    if (path.size() < 2 || path[0] != "v1")
        return makeError(absl::StatusCode::kNotFound, Step::Decode, "", "paths begin with /v1/");
    if (path[1] == "requests")
        return decodeRequests(request, origin, path);
    if (path[1] == "announcements" && path.size() == 2 && request.method == "POST") {
        absl::StatusOr<Announcement> announcement = workercodec::decodeAnnouncement(request.body);
        if (!announcement.ok())
            return announcement.status();
        return AnnouncementReceived{origin.exchange, origin.fromPeer, *std::move(announcement)};
    }
    return decodeOperatorRequest(request, origin, path);
}

} // namespace gentiancross
