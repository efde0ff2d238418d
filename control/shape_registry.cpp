#include "control/shape_registry.h"

#include "control/placement_policy.h"

#include <absl/strings/str_cat.h>

namespace gentiancross {

namespace {

std::string textOf(const WorkSpec &spec)
{
    const Resources &need = spec.perTask;
    std::string text = absl::StrCat(need.cores.value(), "/", need.memory.value(), "/",
                                    need.accelerators.value(), "/", need.slots.value());
    if (spec.kind == WorkKind::Short)
        text += 's';
    if (spec.kind == WorkKind::Gang)
        absl::StrAppend(&text, "*", spec.taskCount);
    for (const auto &[label, value] : spec.selector)
        absl::StrAppend(&text, "\n", label, "=", value);
    return text;
}

} // namespace

std::uint32_t ShapeRegistry::numberOf(const WorkSpec &spec)
{
    std::string text = textOf(spec);
    const auto found = m_numbers.find(text);
    if (found != m_numbers.end())
        return found->second;
    if (m_shapes.size() > MaxShapes)
        return 0;
    const auto number = static_cast<std::uint32_t>(m_shapes.size());
    m_shapes.push_back({spec.perTask, spec.selector});
    m_numbers.emplace(std::move(text), number);
    return number;
}

void ShapeRegistry::markUnfit(std::uint32_t shape)
{
    m_unfit.insert(shape);
}

bool ShapeRegistry::onCapacityIncreased(const IndexedWorker &worker)
{
    const std::set<RackId> noRacks;
    const auto mayFit = [&](std::uint32_t shape) {
        const Shape &known = m_shapes[shape];
        return shape == 0 || isEligible(worker, {known.perTask, known.selector, noRacks, true});
    };
    return std::erase_if(m_unfit, mayFit) > 0;
}

} // namespace gentiancross
