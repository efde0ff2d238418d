#pragma once

#include "core/data_centre_records.h"
#include "core/replicated_commands.h"

#include <cstddef>
#include <vector>

namespace gentiancross {

/** Records go to mirrors and into the journal in batches of about this many bytes at most. */
inline constexpr std::size_t MaxRecordBatchBytes = 1 << 20;

/** About how many bytes the record takes in a message; never far below. Reentrant. */
std::size_t encodedBytes(const DataCentreRecord &record);
/** The same of all of them. Reentrant. */
std::size_t encodedBytes(const std::vector<DataCentreRecord> &records);

/** About how many bytes the entry takes as text. Reentrant. */
std::size_t encodedBytes(const LogEntry &entry);

} // namespace gentiancross
