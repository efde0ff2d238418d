#include "control/adoption.h"

namespace gentiancross {

Adoption planAdoption(const RequestFacts &facts)
{
    const WorkSpec &spec = facts.spec;
    const bool isGang = spec.kind == WorkKind::Gang;
    Adoption plan;
    bool mayBeRunning = false;
    std::vector<std::uint32_t> startable;
    for (std::uint32_t index = 0; index < facts.tasks.size(); ++index) {
        const TaskFacts &task = facts.tasks[index];
        plan.everRan = plan.everRan || task.everRan;
        if (task.ended && spec.kind != WorkKind::Service)
            plan.done.insert(index);
        else if (!task.worker.isEmpty())
            mayBeRunning = true;
        else if (spec.idempotent || !task.everRan)
            startable.push_back(index);
    }
    // The answer of a short request was kept only by the former authority and is lost.
    if (plan.done.size() == facts.tasks.size())
        plan.outcome = spec.kind == WorkKind::Short ? Outcome::Unknown : Outcome::Done;
    else if (plan.everRan && !spec.idempotent && !mayBeRunning)
        plan.outcome = Outcome::Unknown;
    else if (isGang)
        plan.isGangStartable = !mayBeRunning;
    else
        plan.startable = std::move(startable);
    return plan;
}

} // namespace gentiancross
