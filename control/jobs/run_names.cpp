#include "control/jobs/run_names.h"

#include <absl/strings/str_cat.h>

namespace gentiancross {

std::string nameOf(const JobTaskRef &task)
{
    return absl::StrCat(task.step.job.value(), ".", task.step.occurrence, ".", task.step.step, ".",
                        task.index);
}

const char *nameOf(RunEnding ending)
{
    switch (ending) {
    case RunEnding::Done:
        return "done";
    case RunEnding::Failed:
        return "failed";
    case RunEnding::Stopped:
        return "stopped";
    case RunEnding::Lapsed:
        return "lease lapsed";
    case RunEnding::GangBroken:
        return "gang broken";
    case RunEnding::GangIncomplete:
        return "gang incomplete";
    case RunEnding::NotStarted:
        return "not started";
    case RunEnding::Lost:
        return "lost";
    }
    return "";
}

} // namespace gentiancross
