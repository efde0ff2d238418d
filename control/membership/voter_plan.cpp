#include "control/membership/voter_plan.h"

#include <algorithm>

namespace gentiancross {

std::optional<VoterPlan> planVoters(const VoterStatus &status, std::size_t wanted)
{
    std::vector<SilentVoter> silent = status.silent;
    std::stable_sort(silent.begin(), silent.end(), [](const SilentVoter &a, const SilentVoter &b) {
        return a.silence > b.silence;
    });
    VoterPlan plan{status.voters, {}};
    auto former = silent.begin();
    for (const ReplicaId &spare : status.spares) {
        if (former != silent.end()) {
            plan.voters.erase(former->replica);
            plan.replacements.push_back({*former, spare});
            ++former;
        } else if (plan.voters.size() < wanted) {
            plan.replacements.push_back({std::nullopt, spare});
        } else {
            break;
        }
        plan.voters.insert(spare);
    }
    const auto remaining = static_cast<std::size_t>(std::distance(former, silent.end()));
    const bool isMajority = (plan.voters.size() - remaining) * 2 > plan.voters.size();
    if (plan.replacements.empty() || !isMajority)
        return std::nullopt;
    return plan;
}

} // namespace gentiancross
