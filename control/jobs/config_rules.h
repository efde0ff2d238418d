#pragma once

#include "core/job_calls.h"

#include <optional>
#include <string>

namespace gentiancross {

/** A queue and the part of a caller's path after the queue's prefix. */
struct QueueMatch
{
    const QueueConfig *queue = nullptr;
    std::string rest;
};

/** Validation of and look-ups in a configuration document. All functions are reentrant. */
namespace configrules {

/** The reason why the document is invalid; nullopt if it is valid. */
std::optional<std::string> findDefect(const ConfigDocument &document);

/** The answer to a call that leaves the configuration as it is, since its document is invalid or
 * not newer than \a held. Returns nullopt if the document is to be accepted. Any keeper may give
 * this answer, since the version that is in force only rises. */
std::optional<CallAnswer> answerUnchanged(const PutConfiguration &call, const SharedDocument &held);

/** The queue of \a host with the longest prefix of \a path; nullopt if there is none. */
std::optional<QueueMatch> findQueue(const ConfigDocument &document, const std::string &host,
                                    const std::string &path);

/** The team that owns the key; null if there is none. */
const TeamConfig *findTeam(const ConfigDocument &document, const ApiKey &key);

} // namespace configrules

} // namespace gentiancross
