#pragma once

#include "main/command.h"

#include <memory>
#include <vector>

namespace gentiancross {

/** Creates the verbs that call an entry host: submit, status, cancel, team, key, workers, members,
 * load. */
std::vector<std::unique_ptr<Command>> makeClientCommands();

} // namespace gentiancross
