#include "core/job_size.h"

#include <string>

namespace gentiancross {

namespace {

/** A job without its steps: its entries in maps, and the texts of its terms and its origin. */
constexpr std::int64_t JobBytes = 1024;
/** A text of more bytes is held in a block of its own, which has some overhead. */
constexpr std::size_t InlineTextBytes = 15;
constexpr std::int64_t BlockBytes = 16;
/** With the share of checkpoints, which are held outside of a task's progress. */
constexpr std::int64_t TaskBytes = sizeof(TaskProgress) + BlockBytes;
constexpr std::int64_t TaskListBytes = sizeof(std::vector<TaskProgress>) + BlockBytes;
/** A step's encoded form without its texts and lists, and a number of a list in it. */
constexpr std::int64_t EncodedStepBytes = 96;
constexpr std::int64_t EncodedNumberBytes = 6;
constexpr std::int64_t EncodedJobBytes = 64;

std::int64_t textBytes(const std::string &text)
{
    return text.size() <= InlineTextBytes ? 0 : static_cast<std::int64_t>(text.size()) + BlockBytes;
}

std::int64_t decodedBytesOf(const StepSpec &step)
{
    const std::size_t list = step.after.capacity() * sizeof(std::uint32_t);
    return static_cast<std::int64_t>(sizeof(StepSpec) + list) + textBytes(step.requiredLabel)
            + textBytes(step.dataRack) + textBytes(step.image);
}

} // namespace

Bytes decodedBytes(const JobSpec &spec)
{
    std::int64_t bytes = static_cast<std::int64_t>(sizeof(JobSpec)) + textBytes(spec.payload);
    for (const StepSpec &step : spec.steps)
        bytes += decodedBytesOf(step);
    return Bytes(bytes);
}

Bytes encodedBytes(const JobSpec &spec)
{
    std::size_t texts = spec.payload.size();
    std::size_t numbers = 0;
    for (const StepSpec &step : spec.steps) {
        texts += step.requiredLabel.size() + step.dataRack.size() + step.image.size();
        numbers += step.after.size();
    }
    return Bytes(EncodedJobBytes + static_cast<std::int64_t>(texts)
                 + EncodedNumberBytes * static_cast<std::int64_t>(numbers)
                 + EncodedStepBytes * static_cast<std::int64_t>(spec.steps.size()));
}

Bytes occurrenceBytes(const JobSpec &spec)
{
    std::int64_t bytes = 0;
    for (const StepSpec &step : spec.steps)
        bytes += TaskListBytes + TaskBytes * step.count;
    return Bytes(bytes);
}

Bytes storedBytes(const Job &job)
{
    return Bytes(JobBytes) + decodedBytes(job.spec)
            + occurrenceBytes(job.spec) * static_cast<std::int64_t>(job.occurrences.size());
}

Bytes acceptedBytes(const JobSpec &spec)
{
    return Bytes(JobBytes) + decodedBytes(spec) + occurrenceBytes(spec);
}

} // namespace gentiancross
