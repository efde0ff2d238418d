#pragma once

#include "control/jobs/ready_queue.h"

#include <deque>
#include <map>
#include <memory>
#include <string>

namespace gentiancross::tests {

/** A job of one task; results are kept by group. */
struct SlotJob
{
    std::string group;
    std::int64_t priority = 0;
    /** As submitted; the real duration is \a work. */
    Milliseconds estimate;
    Milliseconds work;
    ShareStanding standing = ShareStanding::Within;
};

struct SlotOutcome
{
    int onTime = 0;
    int late = 0;
    int expired = 0;

    [[nodiscard]] int jobs() const { return onTime + late + expired; }
    /** An on-time job is worth five times a late one to its caller. */
    [[nodiscard]] int worth() const { return 5 * onTime + late; }
};

/** Runs jobs on a fixed number of slots in the order of a real `ReadyQueue`. */
class SlotServer
{
public:
    SlotServer(std::unique_ptr<StepOrder> order, Slots slots);

    void submit(Instant now, const SlotJob &job);
    /** Starts waiting jobs on the slots that are free at \a now. */
    void serve(Instant now);
    [[nodiscard]] bool isIdle() const { return m_waiting.empty(); }
    /** Outcomes of the group's started jobs. */
    [[nodiscard]] const SlotOutcome &outcomeOf(const std::string &group)
    {
        return m_outcomes[group];
    }

private:
    struct Waiting
    {
        SlotJob job;
        Instant arrivedAt;
    };

    void start(Instant now, const JobId &id);

    ReadyQueue m_queue;
    Slots m_slots;
    JobStoreData m_store;
    std::map<JobId, Waiting> m_waiting;
    std::deque<Instant> m_busyUntil;
    std::map<std::string, SlotOutcome> m_outcomes;
    int m_jobs = 0;
};

} // namespace gentiancross::tests
