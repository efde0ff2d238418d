#pragma once

#include "main/serve_settings.h"

#include <absl/status/status.h>

namespace gentiancross {

/**
 * Creates and connects the parts of an entry host and runs it until SIGTERM or SIGINT.
 * Errors: those of the journal and of the listeners. Precondition: called once per process, on its
 * main thread.
 */
absl::Status runEntryHost(const ServeSettings &settings);

} // namespace gentiancross
