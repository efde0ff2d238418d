#include "tests/control/overload/slot_server.h"

#include "tests/control/jobs/job_fixture.h"

#include <absl/strings/str_cat.h>

namespace gentiancross::tests {

namespace {

constexpr std::int64_t StretchPermille = 1500;
constexpr Milliseconds Allowance{250};
constexpr int LateFactor = 3;

} // namespace

SlotServer::SlotServer(std::unique_ptr<StepOrder> order, Slots slots)
    : m_queue(std::move(order))
    , m_slots(slots)
{}

void SlotServer::submit(Instant now, const SlotJob &job)
{
    const JobId id(absl::StrCat(absl::Hex(++m_jobs, absl::kZeroPad16)));
    StepSpec step = makeStep(1, 100);
    step.estimate = job.estimate;
    JobAccepted record = makeJob(id.value(), {step});
    record.terms.priority = job.priority;
    record.terms.stretchPermille = StretchPermille;
    record.terms.allowance = Allowance;
    jobstore::apply(m_store, record, nullptr);
    m_waiting.emplace(id, Waiting{job, now});
    m_queue.addArrived(id, m_store.jobs.at(id), job.standing);
    m_queue.updateJob(now, id, m_store.jobs.at(id));
}

void SlotServer::serve(Instant now)
{
    m_queue.updateRanks(now, m_store);
    std::erase_if(m_busyUntil, [now](Instant until) { return until <= now; });
    while (Slots(std::int64_t(m_busyUntil.size())) < m_slots && !m_queue.steps().empty()) {
        // The queue's entry does not outlive the start.
        const JobId next = m_queue.steps().begin()->step.job;
        start(now, next);
    }
}

void SlotServer::start(Instant now, const JobId &id)
{
    const auto [job, arrivedAt] = m_waiting.at(id);
    const Milliseconds took = now + job.work - arrivedAt;
    const Milliseconds objective = job.work * StretchPermille / 1000 + Allowance;
    SlotOutcome &outcome = m_outcomes[job.group];
    if (took <= objective)
        ++outcome.onTime;
    else
        ++(took <= objective * LateFactor ? outcome.late : outcome.expired);
    m_busyUntil.push_back(now + job.work);
    jobstore::apply(m_store, JobCancelled{id}, nullptr);
    m_queue.updateJob(now, id, m_store.jobs.at(id));
    m_waiting.erase(id);
}

} // namespace gentiancross::tests
