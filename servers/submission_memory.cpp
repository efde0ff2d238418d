#include "servers/submission_memory.h"

#include "core/job_size.h"

namespace gentiancross {

void reserveMemory(CellCall &call, ByteBudget &budget)
{
    auto *const job = std::get_if<JobCall>(&call);
    if (job == nullptr || !job->spec.has_value())
        return;
    const std::shared_ptr<const void> reservation = budget.reserve(decodedBytes(*job->spec));
    if (reservation == nullptr) {
        job->spec = {};
        job->isShed = true;
        return;
    }
    job->spec.attach(reservation);
    // The text is made anew for each message, so that it takes no memory between them.
    job->spec.forgetText();
}

} // namespace gentiancross
