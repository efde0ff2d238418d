#pragma once

#include "core/effects.h"
#include "drivers/http_types.h"

namespace gentiancross {

/** Says to a forwarding entry host that another one decides; never seen by callers. */
inline constexpr int HttpMisdirected = 421;

/** Says that the work could never run there. */
inline constexpr int HttpUnprocessable = 422;

/** Turns an answer into HTTP. Reentrant. */
HttpResponse encodeAnswer(const Answer &answer);

/** The name of an outcome in bodies, headers and metrics. Reentrant. */
const char *outcomeName(Outcome outcome);

} // namespace gentiancross
