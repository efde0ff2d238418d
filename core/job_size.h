#pragma once

#include "core/job_records.h"

namespace gentiancross {

/** Estimates of the memory that jobs take, and of their size in messages and in the log. All
 * functions are reentrant. */

/** The memory of a decoded specification. */
Bytes decodedBytes(const JobSpec &spec);
/** The size of a specification in a message or a record. */
Bytes encodedBytes(const JobSpec &spec);
/** The memory of one occurrence of a job: the progress of its tasks. */
Bytes occurrenceBytes(const JobSpec &spec);
/** The memory of a job in the job store. */
Bytes storedBytes(const Job &job);
/** The memory that a job takes in the job store once it is accepted. */
Bytes acceptedBytes(const JobSpec &spec);

} // namespace gentiancross
