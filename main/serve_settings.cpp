#include "main/serve_settings.h"

#include "core/error.h"
#include "drivers/codec.h"
#include "main/arguments.h"
#include "main/flat_text.h"
#include "servers/request_decoder.h"
#include "servers/socket_address.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <utility>

namespace gentiancross {

namespace {

constexpr std::int64_t MillisecondsPerHour = 3'600'000;
constexpr std::int64_t MillisecondsPerDay = 24 * MillisecondsPerHour;
/** Contact with the log is confirmed by heartbeats, so even in normal operation its last
 * confirmation is up to two seconds old. With a grace period below this minimum, hosts could
 * reject valid keys. */
constexpr std::int64_t MinKeyGraceMs = 3'000;
constexpr std::int64_t DefaultKeyGraceMs = 600'000;
constexpr std::int64_t DefaultDrainMs = 1'000;
constexpr std::size_t MinSecretLength = 8;

absl::Status makeSettingsError(const std::string &message)
{
    return makeError(absl::StatusCode::kInvalidArgument, Step::Settings, "", message);
}

absl::Status parseAddress(const std::string &flag, const std::string &text, std::string &ip,
                          std::uint16_t &port)
{
    std::optional<SocketAddress> address = parseSocketAddress(text);
    if (!address.has_value())
        return makeSettingsError("--" + flag + " must be IP:PORT, not \"" + text + '"');
    ip = std::move(address->ip);
    port = address->port;
    return absl::OkStatus();
}

/** Parses one host of "--hosts": NAME=DATA-CENTRE,IP:PORT[,disk]. */
absl::Status parseHost(const std::string &text, ServeSettings &settings)
{
    const std::vector<std::string> sides = absl::StrSplit(text, absl::MaxSplits('=', 1));
    const std::vector<std::string> parts
            = sides.size() == 2 ? absl::StrSplit(sides[1], ',') : std::vector<std::string>();
    const bool isWellFormed = parts.size() == 2 || (parts.size() == 3 && parts[2] == "disk");
    if (!isWellFormed || !isName(sides[0]) || !isName(parts[0]))
        return makeSettingsError(
                "--hosts must be NAME=DATA-CENTRE,IP:PORT[,disk] joined by ';', not \"" + text
                + '"');
    std::string ip;
    std::uint16_t port = 0;
    absl::Status address = parseAddress("hosts", parts[1], ip, port);
    if (!address.ok())
        return address;
    const HostId host(sides[0]);
    settings.directory.hosts[host] = {host, DataCentreId(parts[0]), parts.size() == 3};
    if (host != settings.directory.self)
        settings.peers.addresses[host] = parts[1];
    return absl::OkStatus();
}

absl::Status parseHosts(const std::string &text, ServeSettings &settings)
{
    for (const auto part : absl::StrSplit(text, ';', absl::SkipEmpty())) {
        absl::Status status = parseHost(std::string(part), settings);
        if (!status.ok())
            return status;
    }
    if (!settings.directory.knows(settings.directory.self))
        return makeSettingsError("--hosts must name this host, \"" + settings.directory.self.value()
                                 + '"');
    return absl::OkStatus();
}

absl::Status parseVoters(const std::string &text, HostDirectory &directory)
{
    for (const auto part : absl::StrSplit(text, ',', absl::SkipEmpty())) {
        const HostId host{std::string(part)};
        if (!directory.knows(host) || !directory.hosts.at(host).hasStore)
            return makeSettingsError("--initial-voters must name hosts with a disk, not \""
                                     + host.value() + '"');
        directory.initialVoters.push_back(host);
    }
    if (directory.initialVoters.empty())
        return makeSettingsError("--initial-voters must name at least one host");
    return absl::OkStatus();
}

absl::Status readSecrets(ServeSettings &settings)
{
    settings.peers.fleetSecret = readEnvironment("GENTIANCROSS_FLEET_SECRET");
    settings.operatorKey = readEnvironment("GENTIANCROSS_OPERATOR_KEY");
    if (settings.peers.fleetSecret.size() < MinSecretLength)
        return makeSettingsError("GENTIANCROSS_FLEET_SECRET must hold 8 characters or more");
    if (settings.operatorKey.size() < MinSecretLength)
        return makeSettingsError("GENTIANCROSS_OPERATOR_KEY must hold 8 characters or more");
    return absl::OkStatus();
}

absl::Status firstError(std::initializer_list<absl::Status> statuses)
{
    for (const absl::Status &status : statuses) {
        if (!status.ok())
            return status;
    }
    return absl::OkStatus();
}

} // namespace

absl::StatusOr<ServeSettings> readServeSettings(const std::vector<std::string> &words)
{
    Arguments arguments(words.empty() ? "serve" : words.front(), "runs an entry host");
    const std::string &host = arguments.addText("host", "This host's name");
    const std::string &hosts
            = arguments.addText("hosts", "All entry hosts: NAME=DATA-CENTRE,IP:PORT[,disk];...");
    const std::string &voters
            = arguments.addText("initial-voters", "Hosts that found the agreed log, by comma");
    const std::string &listen
            = arguments.addText("listen", "IP:PORT for callers, operators and workers");
    const std::string &peerListen
            = arguments.addText("peer-listen", "IP:PORT for the other entry hosts");
    const std::string &folder = arguments.addText(
            "data-folder", "Folder on this host's disk; none if it has no disk");
    const std::int64_t &keyGrace = arguments.addNumber(
            "key-grace-ms", "How long keys are honoured without contact to the log",
            DefaultKeyGraceMs, MinKeyGraceMs, MillisecondsPerDay);
    const std::int64_t &drain = arguments.addNumber(
            "drain-ms", "Time between failing readiness and taking nothing more", DefaultDrainMs, 0,
            MillisecondsPerHour);
    const std::string &format = arguments.addText("log-format", "text or json", "text");
    const bool &json
            = arguments.addFlag("json", "Print JSON; for serve the same as --log-format json");
    absl::Status status = arguments.parse(words);
    if (!status.ok())
        return status;
    ServeSettings settings;
    settings.directory.self = HostId(host);
    settings.peers.self = settings.directory.self;
    settings.dataFolder = folder;
    settings.directory.callerAddress = listen;
    settings.keyGrace = Milliseconds(keyGrace);
    settings.drainNotice = Milliseconds(drain);
    settings.printsJson = json;
    settings.logFormat = json || format == "json" ? LogFormat::Json : LogFormat::Text;
    if (!isName(host))
        return makeSettingsError("--host must be a name of letters, digits, '.', '_' and '-'");
    if (format != "json" && format != "text")
        return makeSettingsError("--log-format must be text or json, not \"" + format + '"');
    status = firstError({parseHosts(hosts, settings),
                         parseAddress("listen", listen, settings.frontend.callerIp,
                                      settings.frontend.callerPort),
                         parseAddress("peer-listen", peerListen, settings.frontend.peerIp,
                                      settings.frontend.peerPort),
                         readSecrets(settings)});
    if (!status.ok())
        return status;
    status = parseVoters(voters, settings.directory);
    if (!status.ok())
        return status;
    if (settings.directory.own().hasStore == folder.empty())
        return makeSettingsError(
                "--data-folder and the word \"disk\" of this host in --hosts must go together");
    return settings;
}

std::string ServeSettings::describe() const
{
    Json::Value json;
    json["host"] = directory.self.value();
    json["data_centre"] = directory.own().dataCentre.value();
    json["listen"] = frontend.callerIp + ':' + std::to_string(frontend.callerPort);
    json["peer_listen"] = frontend.peerIp + ':' + std::to_string(frontend.peerPort);
    json["data_folder"] = dataFolder.empty() ? "none" : dataFolder;
    json["key_grace_ms"] = Json::Int64(keyGrace.value());
    json["drain_ms"] = Json::Int64(drainNotice.value());
    for (const auto &[host, info] : directory.hosts) {
        const char *const disk = info.hasStore ? " with a disk" : "";
        json["hosts"].append(host.value() + " in " + info.dataCentre.value() + disk);
    }
    for (const HostId &voter : directory.initialVoters)
        json["initial_voters"].append(voter.value());
    return printsJson ? codec::formatJson(json) + '\n' : flattenToText(json);
}

} // namespace gentiancross
