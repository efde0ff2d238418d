#include "tests/control/jobs/model_trace.h"

namespace gentiancross::tests {

namespace {

constexpr std::size_t CompletionsShownBelow = 10;

} // namespace

std::string describe(const JobTaskRef &task)
{
    return task.step.job.value() + "." + std::to_string(task.step.occurrence) + "."
            + std::to_string(task.step.step) + "." + std::to_string(task.index);
}

std::string describe(const CallWorker &call)
{
    std::string text = call.incarnation.worker.value() + " call="
            + std::to_string(call.call.value()) + " until=" + std::to_string(call.leaseUntil);
    if (const auto *start = std::get_if<OrderStart>(&call.order))
        return "start " + describe(start->task) + " run=" + std::to_string(start->run.value())
                + " at " + text;
    if (const auto *stop = std::get_if<OrderStop>(&call.order))
        return "stop " + describe(stop->task) + " run=" + std::to_string(stop->run.value()) + " at "
                + text;
    return "renew lease durable_up_to="
            + std::to_string(std::get<OrderLeaseRenewal>(call.order).durableUpTo.value()) + " at "
            + text;
}

std::string describe(const WorkerAnswer &answer)
{
    std::string text = "answer call=" + std::to_string(answer.call.value())
            + " verdict=" + std::to_string(int(answer.verdict))
            + " running=" + std::to_string(answer.running.size())
            + " ended=" + std::to_string(answer.ended.size());
    for (const ReportedCompletion &end : answer.ended) {
        if (answer.ended.size() < CompletionsShownBelow)
            text += " " + std::to_string(end.number.value()) + ":" + describe(end.task) + "/"
                    + std::to_string(end.run.value()) + "=" + std::to_string(int(end.ending));
    }
    return text;
}

} // namespace gentiancross::tests
