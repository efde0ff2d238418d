#include "core/error.h"

#include <absl/strings/cord.h>
#include <absl/strings/str_cat.h>

#include <array>
#include <cstddef>

namespace gentiancross {

namespace {

constexpr char StepPayload[] = "gentiancross/step";
constexpr char PeerPayload[] = "gentiancross/peer";

constexpr std::array<std::string_view, 15> StepNames = {
        "settings",  "decode",    "authenticate",  "admission", "limit",
        "queue",     "placement", "dispatch",      "worker",    "forward",
        "authority", "agreement", "configuration", "journal",   "network",
};

std::string payload(const absl::Status &status, const char *name)
{
    const auto found = status.GetPayload(name);
    if (!found.has_value())
        return {};
    return std::string(*found);
}

} // namespace

std::string_view stepName(Step step)
{
    return StepNames.at(static_cast<std::size_t>(step));
}

absl::Status makeError(absl::StatusCode code, Step step, std::string_view peer,
                       std::string_view message)
{
    absl::Status status(code, {message.data(), message.size()});
    const std::string_view name = stepName(step);
    status.SetPayload(StepPayload, absl::Cord({name.data(), name.size()}));
    if (!peer.empty())
        status.SetPayload(PeerPayload, absl::Cord({peer.data(), peer.size()}));
    return status;
}

std::string errorStep(const absl::Status &status)
{
    return payload(status, StepPayload);
}

std::string errorPeer(const absl::Status &status)
{
    return payload(status, PeerPayload);
}

std::string describeError(const absl::Status &status)
{
    const std::string peer = errorPeer(status);
    const std::string place = peer.empty() ? std::string() : absl::StrCat(" [", peer, "]");
    return absl::StrCat(errorStep(status), place, ": ", std::string(status.message()));
}

} // namespace gentiancross
