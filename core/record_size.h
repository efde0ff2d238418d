#pragma once

#include "core/data_centre_records.h"
#include "core/replicated_commands.h"

#include <cstddef>
#include <vector>

namespace gentiancross {

/** Approximate upper bound of the batches in which records go to mirrors and the journal. */
inline constexpr std::size_t MaxRecordBatchBytes = 1 << 20;

/** Estimates the encoded size of a record in a message; never far too low. Reentrant. */
std::size_t encodedBytes(const DataCentreRecord &record);
/** Estimates the encoded size of all the records. Reentrant. */
std::size_t encodedBytes(const std::vector<DataCentreRecord> &records);

/** Estimates the encoded size of the entry. Reentrant. */
std::size_t encodedBytes(const LogEntry &entry);

} // namespace gentiancross
