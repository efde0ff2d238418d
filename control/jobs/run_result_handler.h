#pragma once

#include "core/job_records.h"

namespace gentiancross {

/** Takes what the orders to workers bring about. */
class RunResultHandler
{
public:
    RunResultHandler() = default;
    RunResultHandler(const RunResultHandler &) = delete;
    RunResultHandler &operator=(const RunResultHandler &) = delete;
    virtual ~RunResultHandler() = default;

    /** Changes the book, and the log with the next entry. */
    virtual void apply(JobRecord record) = 0;
    /** All ends up to \a number were applied; the worker may forget them once they are durable. */
    virtual void acknowledgeEnds(const WorkerIncarnation &life, CompletionNumber number) = 0;
};

} // namespace gentiancross
