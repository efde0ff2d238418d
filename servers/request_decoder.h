#pragma once

#include "core/events.h"
#include "drivers/http_types.h"

#include <absl/status/statusor.h>

#include <string>

namespace gentiancross {

/** Where a request came from, as far as the listener knows. */
struct RequestOrigin
{
    ExchangeId exchange;
    /** True for requests on the listener that only entry hosts of the fleet can use. */
    bool fromPeer = false;
    std::string fleetSecret;
};

/** Carries the full name of a request that is forwarded between entry hosts. */
inline constexpr char RequestNameHeader[] = "x-request-name";
/** Carries the remaining time until a forwarded request's deadline, in milliseconds. */
inline constexpr char RemainingTimeHeader[] = "x-remaining-ms";
/** Present if an earlier attempt to forward the request may still arrive. */
inline constexpr char EarlierAttemptHeader[] = "x-earlier-attempt";
inline constexpr char IdempotencyHeader[] = "idempotency-key";

/**
 * Decodes an HTTP request into an event. Errors, all with Step::Decode or Step::Authenticate:
 * InvalidArgument for a malformed body, NotFound for an unknown path, Unauthenticated without a
 * key. Reentrant.
 */
absl::StatusOr<EventPayload> decodeRequest(const HttpRequest &request, const RequestOrigin &origin);

/** Returns true if \a name is a well-formed full name of a request; others are never forwarded.
 * Reentrant. */
bool isFullName(const std::string &name);

/** Returns true if \a name is valid as the name of a team or key, or as a part of a request's name.
 * Reentrant. */
bool isName(const std::string &name);

} // namespace gentiancross
