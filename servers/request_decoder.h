#pragma once

#include "core/events.h"
#include "drivers/http_types.h"

#include <absl/status/statusor.h>

#include <string>

namespace gentiancross {

/** What a listener knows of a request besides its text. */
struct RequestOrigin
{
    ExchangeId exchange;
    /** True on the listener that only entry hosts of the fleet can use. */
    bool fromPeer = false;
    std::string fleetSecret;
};

/** The header with a request's full name on its way between entry hosts. */
inline constexpr char RequestNameHeader[] = "x-request-name";
/** What is left of a request's deadline when an entry host passes it on, in milliseconds. */
inline constexpr char RemainingTimeHeader[] = "x-remaining-ms";
/** Present if an earlier attempt to pass the request on may still arrive. */
inline constexpr char EarlierAttemptHeader[] = "x-earlier-attempt";
inline constexpr char IdempotencyHeader[] = "idempotency-key";

/**
 * Turns an HTTP request into an event. Errors, all with Step::Decode or Step::Authenticate:
 * InvalidArgument for a malformed body, NotFound for an unknown path, Unauthenticated without a
 * key. Reentrant.
 */
absl::StatusOr<EventPayload> decodeRequest(const HttpRequest &request, const RequestOrigin &origin);

/** True if \a name can be the full name of a request; others are never passed on. Reentrant. */
bool isFullName(const std::string &name);

/** True if \a name may be a part of a request's, team's or key's name. Reentrant. */
bool isName(const std::string &name);

} // namespace gentiancross
