#include "control/operator_change_coordinator.h"

#include "control/lease_times.h"
#include "core/error.h"

#include <vector>

namespace gentiancross {

namespace {

/** A change that is not in force on all hosts after this time is answered as pending. */
constexpr Milliseconds MaxWaitForAllHosts{4000};
constexpr Milliseconds ChangeDeadline{9000};
constexpr Milliseconds RetryInterval{200};

ErrorAnswer errorAnswer(absl::Status error)
{
    ErrorAnswer answer;
    answer.error = std::move(error);
    return answer;
}

} // namespace

OperatorChangeCoordinator::OperatorChangeCoordinator(const HostDirectory &directory,
                                                     RaftConsensus &raft, KeyHash operatorKey,
                                                     Milliseconds keyGrace)
    : m_directory(directory)
    , m_raft(raft)
    , m_operatorKey(std::move(operatorKey))
    , m_keyGrace(keyGrace)
{}

bool OperatorChangeCoordinator::isOperator(const CallerIdentity &caller) const
{
    return !m_operatorKey.isEmpty() && caller.key == m_operatorKey;
}

void OperatorChangeCoordinator::receive(Instant now, const OperatorChangeReceived &event,
                                        Outbox &out)
{
    if (!isOperator(event.caller)) {
        out.add(Reply{event.exchange,
                      errorAnswer(makeError(absl::StatusCode::kUnauthenticated, Step::Authenticate,
                                            "", "this is not the operators' key"))});
        return;
    }
    Pending &pending = m_pending[event.exchange];
    pending.event = event;
    pending.proposal = ProposalId(OperatorProposalPrefix + event.requestName);
    pending.deadline = now + ChangeDeadline;
    proposeOrForward(now, event.exchange, pending, out);
}

void OperatorChangeCoordinator::proposeOrForward(Instant now, ExchangeId exchange, Pending &pending,
                                                 Outbox &out)
{
    if (m_raft.isLeader()) {
        proposeHere(now, exchange, pending, out);
        return;
    }
    pending.nextAttemptAt = now + RetryInterval;
    if (pending.event.caller.forwarded) {
        ErrorAnswer answer = errorAnswer(makeError(absl::StatusCode::kUnavailable, Step::Agreement,
                                                   m_directory.self.value(),
                                                   "this host does not lead the log"));
        answer.misdirected = true;
        out.add(Reply{exchange, std::move(answer)});
        m_pending.erase(exchange);
        return;
    }
    const std::optional<HostId> leader = m_raft.leader();
    if (!leader.has_value())
        return;
    pending.isForwarded = true;
    pending.forwardedTo = *leader;
    ++pending.attempt;
    out.add(ForwardExchange{exchange, *leader, pending.event.requestName, pending.deadline - now,
                            pending.attempt, pending.mayBeApplied, false});
}

void OperatorChangeCoordinator::abandonFormerLeader(Pending &pending) const
{
    const std::optional<HostId> leader = m_raft.leader();
    if (!pending.isForwarded || !leader.has_value() || pending.forwardedTo == *leader)
        return;
    // The former leader may have appended the change; its proposal id keeps it from being applied
    // twice.
    pending.isForwarded = false;
    pending.mayBeApplied = true;
}

void OperatorChangeCoordinator::proposeHere(Instant now, ExchangeId exchange, Pending &pending,
                                            Outbox &out)
{
    if (pending.result.has_value())
        return;
    const ApplyResult *first = m_raft.state().data().operatorResults.find(pending.proposal);
    if (first != nullptr) {
        pending.result = *first;
        pending.appliedAt = now;
        return;
    }
    absl::Status status;
    if (const auto *command = std::get_if<ReplicatedCommand>(&pending.event.change))
        status = m_raft.propose(now, pending.proposal, *command, out);
    else
        status = m_raft.proposeVoters(now, pending.proposal,
                                      std::get<std::set<HostId>>(pending.event.change), out);
    pending.nextAttemptAt = now + RetryInterval;
    if (status.ok())
        return;
    out.add(Reply{exchange, errorAnswer(std::move(status))});
    m_pending.erase(exchange);
}

void OperatorChangeCoordinator::receive(Instant now, const ForwardEnded &event, Outbox &)
{
    const auto found = m_pending.find(event.exchange);
    if (found == m_pending.end())
        return;
    if (event.outcome == CallOutcome::Answered) {
        m_pending.erase(found);
        return;
    }
    if (event.attempt != found->second.attempt)
        return;
    found->second.isForwarded = false;
    found->second.mayBeApplied = found->second.mayBeApplied || event.outcome == CallOutcome::Broken;
    found->second.nextAttemptAt = now + RetryInterval;
}

void OperatorChangeCoordinator::applied(Instant now, const AppliedEntry &applied)
{
    for (auto &[exchange, pending] : m_pending) {
        if (pending.proposal != applied.entry->proposal || pending.result.has_value())
            continue;
        pending.result = applied.result;
        pending.appliedAt = now;
    }
}

std::set<HostId> OperatorChangeCoordinator::hostsNotInForce(Instant now, LogIndex index) const
{
    std::set<HostId> missing;
    for (const HostId &host : m_raft.hostsBehind(index)) {
        const std::optional<Instant> lastReply = m_raft.lastReplyOf(host);
        // A leader that lost its quorum may have kept contact with the host for up to an election
        // timeout.
        const Milliseconds margin
                = m_raft.timing().minElectionTimeout + m_raft.timing().electionTimeoutSpread;
        const bool acceptsNoKey
                = lastReply.has_value() && now - *lastReply > withDrift(m_keyGrace + margin);
        if (!acceptsNoKey)
            missing.insert(host);
    }
    return missing;
}

bool OperatorChangeCoordinator::answerIfSettled(Instant now, ExchangeId exchange,
                                                const Pending &pending, Outbox &out) const
{
    if (!pending.result.has_value() || !m_raft.isLeader())
        return false;
    const ApplyResult &result = *pending.result;
    const std::set<HostId> behind
            = result.accepted ? hostsNotInForce(now, result.index) : std::set<HostId>();
    const bool mayWait = pending.event.waitForForce && now - pending.appliedAt < MaxWaitForAllHosts;
    if (!behind.empty() && mayWait)
        return false;
    out.add(Reply{exchange,
                  ChangeAnswer{result.accepted, result.conflict, result.message, result.version,
                               result.index, behind}});
    return true;
}

void OperatorChangeCoordinator::answerTimeout(ExchangeId exchange, const Pending &pending,
                                              Outbox &out) const
{
    ErrorAnswer answer = errorAnswer(
            makeError(absl::StatusCode::kUnavailable, Step::Agreement, m_directory.self.value(),
                      "no leader of the log answered in time; send the change again under the same "
                      "name to learn what became of it"));
    answer.notRun = !pending.mayBeApplied;
    out.add(Reply{exchange, std::move(answer)});
}

void OperatorChangeCoordinator::advance(Instant now, Outbox &out)
{
    std::vector<ExchangeId> open;
    for (const auto &[exchange, pending] : m_pending)
        open.push_back(exchange);
    for (const ExchangeId exchange : open) {
        Pending &pending = m_pending.at(exchange);
        abandonFormerLeader(pending);
        if (answerIfSettled(now, exchange, pending, out)) {
            m_pending.erase(exchange);
        } else if (now >= pending.deadline && !pending.isForwarded) {
            answerTimeout(exchange, pending, out);
            m_pending.erase(exchange);
        } else if (!pending.isForwarded && now >= pending.nextAttemptAt) {
            proposeOrForward(now, exchange, pending, out);
        }
    }
}

} // namespace gentiancross
