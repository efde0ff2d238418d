#pragma once

#include "core/effects.h"
#include "drivers/http_types.h"

namespace gentiancross {

/** Status for a forwarding entry host: another host is the authority. Never returned to callers. */
inline constexpr int HttpMisdirected = 421;

/** Status for work that can never run at the host that was asked. */
inline constexpr int HttpUnprocessable = 422;

/** Encodes an answer as an HTTP response. Reentrant. */
HttpResponse encodeAnswer(const Answer &answer);

/** Returns the name of an outcome as used in bodies and headers and on report pages. Reentrant. */
const char *outcomeName(Outcome outcome);

} // namespace gentiancross
