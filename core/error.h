#pragma once

#include <absl/status/status.h>

#include <string>
#include <string_view>

namespace gentiancross {

/** The processing step in which an error arose. */
enum class Step {
    Settings,
    Decode,
    Authenticate,
    Admission,
    Limit,
    Queue,
    Placement,
    Dispatch,
    Worker,
    Forward,
    Authority,
    Agreement,
    Configuration,
    Journal,
    Network,
};

/** The step's name as written in error bodies and logs. */
std::string_view stepName(Step step);

/**
 * Builds a status that carries the step and the peer at which the error arose.
 * Thread safety: reentrant. An empty \a peer means this host itself.
 */
absl::Status makeError(absl::StatusCode code, Step step, std::string_view peer,
                       std::string_view message);

/** The step name carried by \a status; empty if it carries none. Reentrant. */
std::string errorStep(const absl::Status &status);

/** The peer carried by \a status; empty if it carries none. Reentrant. */
std::string errorPeer(const absl::Status &status);

/** Formats the error as one readable line: "step [peer]: message". Reentrant. */
std::string describeError(const absl::Status &status);

} // namespace gentiancross
