#pragma once

#include "core/work.h"

#include <absl/status/statusor.h>

#include <string>

/** Encodes and decodes the messages between the system and the workers, as JSON with named members.
 */
namespace gentiancross::workercodec {

/** Decodes an announcement. Error: InvalidArgument with Step::Decode. Reentrant. */
absl::StatusOr<Announcement> decodeAnnouncement(const std::string &text);

/** Encodes the reply to an announcement. Reentrant. */
std::string encodeReply(const AnnouncementReply &reply);

/** Encodes a start order without its payload as one line, for use in a header. Reentrant. */
std::string encodeOrder(const StartOrder &order);

} // namespace gentiancross::workercodec
