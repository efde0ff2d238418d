#pragma once

#include "core/jobs.h"

#include <optional>
#include <string>

namespace gentiancross {

/** A queue and what a caller's path says beyond its prefix. */
struct QueueMatch
{
    const QueueConfig *queue = nullptr;
    std::string rest;
};

/** What a configuration document means. All functions are reentrant. */
namespace configrules {

/** Why the document can't be accepted; nothing if it can. */
std::optional<std::string> findDefect(const ConfigDocument &document);

/** The queue of the longest prefix that \a path begins with; nothing if there is none. */
std::optional<QueueMatch> findQueue(const ConfigDocument &document, const std::string &host,
                                    const std::string &path);

/** The team that has this key; null if no team has. */
const TeamConfig *findTeam(const ConfigDocument &document, const ApiKey &key);

} // namespace configrules

} // namespace gentiancross
