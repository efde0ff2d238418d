#pragma once

#include "control/admission/stored_work.h"
#include "control/outbox.h"

namespace gentiancross {

/** Writes a log line when the stored jobs take more or less of their limit than at the last line.
 * Thread safety: owned by the control thread. */
class StoredWorkLog
{
public:
    void tick(Instant now, const StoredWork &work, Outbox &out);

private:
    Instant m_nextLine;
    /** The part of the limit at the last line, in steps. */
    std::int64_t m_loggedStep = 0;
};

} // namespace gentiancross
