#include "control/membership/voter_supervisor.h"

#include "core/error.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace gentiancross {

namespace {

constexpr Milliseconds CheckInterval{500};
/** A replica that has not replied for longer is not made a voter. */
constexpr Milliseconds MaxSpareSilence{1500};

} // namespace

VoterSupervisor::VoterSupervisor(RaftConsensus &raft, SessionId session, VoterOptions options)
    : m_raft(raft)
    , m_session(std::move(session))
    , m_options(options)
{}

void VoterSupervisor::tick(Instant now, Outbox &out)
{
    if (!m_raft.isLeader()) {
        m_silentSince.clear();
        return;
    }
    reportReplacements(now, out);
    if (now < m_nextCheck)
        return;
    m_nextCheck = now + CheckInterval;
    const VoterStatus status = observe(now);
    reportSilence(now, status, out);
    if (!m_raft.canChangeMembership())
        return;
    if (const std::optional<VoterPlan> plan = planVoters(status, m_options.voters))
        propose(now, *plan, out);
}

VoterStatus VoterSupervisor::observe(Instant now) const
{
    VoterStatus status;
    status.voters = m_raft.membership().voters;
    std::set<HostId> votingHosts;
    for (const ReplicaId &voter : status.voters) {
        votingHosts.insert(hostOf(voter));
        const Milliseconds silence = now - m_raft.lastContactWith(voter);
        if (voter != m_raft.replica() && silence > m_options.maxSilence)
            status.silent.push_back({voter, silence});
    }
    for (const ReplicaId &replica : m_raft.caughtUpReplicas(now, MaxSpareSilence)) {
        if (!votingHosts.contains(hostOf(replica)))
            status.spares.push_back(replica);
    }
    return status;
}

void VoterSupervisor::reportSilence(Instant now, const VoterStatus &status, Outbox &out)
{
    std::map<ReplicaId, Instant> silentSince;
    for (const SilentVoter &silent : status.silent) {
        silentSince[silent.replica] = now - silent.silence;
        if (m_silentSince.contains(silent.replica))
            continue;
        out.count(CellEvent::VoterSilent);
        out.add(LogLine{true, silent.replica.value(),
                        absl::StrCat("voter is silent: silence_ms=", silent.silence.value(),
                                     " voters=", status.voters.size(),
                                     " spares=", status.spares.size())});
    }
    for (const auto &[replica, since] : m_silentSince) {
        if (!silentSince.contains(replica) && status.voters.contains(replica))
            out.add(LogLine{false, replica.value(), "voter responds again"});
    }
    m_silentSince = std::move(silentSince);
}

void VoterSupervisor::reportReplacements(Instant now, Outbox &out)
{
    if (m_silentSince.empty() || !m_raft.canChangeMembership())
        return;
    std::erase_if(m_silentSince, [&](const auto &entry) {
        const auto &[replica, since] = entry;
        if (m_raft.membership().voters.contains(replica))
            return false;
        out.count(CellEvent::VoterReplaced);
        out.measure(SpanMeasured{Span::VoterReplaced, now - since});
        out.add(LogLine{false, replica.value(),
                        absl::StrCat("vote replaced: after_ms=", (now - since).value())});
        return true;
    });
}

void VoterSupervisor::propose(Instant now, const VoterPlan &plan, Outbox &out)
{
    const std::size_t present = m_raft.membership().voters.size();
    const ProposalId proposal(absl::StrCat("voters:", m_session.value(), ":", ++m_proposals));
    const absl::Status status = m_raft.proposeMembership(now, proposal, plan.voters, out);
    for (const auto &[former, successor] : plan.replacements) {
        const std::string reason = former.has_value()
                ? absl::StrCat("in place of ", former->replica.value(),
                               ": silence_ms=", former->silence.value())
                : absl::StrCat("since there are too few: voters=", present,
                               " wanted=", m_options.voters);
        out.add(LogLine{!status.ok(), successor.value(),
                        absl::StrCat(status.ok() ? "proposed as voter " : "refused as voter ",
                                     reason, status.ok() ? "" : " " + describeError(status))});
        if (status.ok() && !former.has_value())
            out.count(CellEvent::VoterAdded);
    }
}

} // namespace gentiancross
