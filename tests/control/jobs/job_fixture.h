#pragma once

#include "control/jobs/job_store.h"

#include <string>
#include <vector>

namespace gentiancross::tests {

/** A step of \a count identical tasks, each with \a cores thousandths of a core. */
inline StepSpec makeStep(std::uint32_t count, std::int64_t cores,
                         std::vector<std::uint32_t> after = {})
{
    StepSpec step;
    step.count = count;
    step.perTask.cores = MilliCores(cores);
    step.perTask.memory = Mebibytes(100);
    step.estimate = Milliseconds(1000);
    step.after = std::move(after);
    return step;
}

inline JobAccepted makeJob(const std::string &id, std::vector<StepSpec> steps,
                           std::uint32_t maxAttempts = 2)
{
    JobAccepted record;
    record.id = JobId(id);
    record.terms.queue = QueueId("checks");
    record.terms.pool = PoolId("pool");
    record.terms.team = TeamId("alpha");
    record.terms.maxAttempts = maxAttempts;
    record.spec.payload = "payload of " + id;
    record.spec.steps = std::move(steps);
    return record;
}

inline WorkerIncarnation makeIncarnation(const std::string &name, std::int64_t born = 1)
{
    return {WorkerId(name), Milliseconds(born)};
}

inline JobTaskRef makeTask(const std::string &job, std::uint32_t step, std::uint32_t index)
{
    return {{JobId(job), 0, step}, index};
}

} // namespace gentiancross::tests
