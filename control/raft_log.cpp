#include "control/raft_log.h"

#include "core/record_size.h"

#include <algorithm>

namespace gentiancross {

LogIndex RaftLog::lastIndex() const
{
    return LogIndex(m_baseIndex.value() + m_entries.size());
}

Term RaftLog::lastTerm() const
{
    return m_entries.empty() ? m_baseTerm : m_entries.back()->term;
}

std::optional<Term> RaftLog::termAt(LogIndex index) const
{
    if (index == m_baseIndex)
        return m_baseTerm;
    if (index < m_baseIndex || index > lastIndex())
        return std::nullopt;
    return at(index).term;
}

bool RaftLog::isCandidateUpToDate(LogIndex lastIndex, Term lastTerm) const
{
    if (lastTerm != this->lastTerm())
        return lastTerm > this->lastTerm();
    return lastIndex >= this->lastIndex();
}

bool RaftLog::containsProposalAfter(LogIndex index, const ProposalId &proposal) const
{
    const auto decides = [&](const SharedEntry &entry) {
        return entry->index <= index || entry->proposal == proposal;
    };
    const auto found = std::find_if(m_entries.rbegin(), m_entries.rend(), decides);
    return found != m_entries.rend() && (*found)->index > index;
}

void RaftLog::append(SharedEntry entry)
{
    if (const auto *membership = std::get_if<Membership>(&entry->payload))
        m_memberships.emplace(entry->index, *membership);
    m_bytes += encodedBytes(*entry);
    m_entries.push_back(std::move(entry));
}

void RaftLog::truncate(LogIndex from)
{
    while (!m_entries.empty() && m_entries.back()->index >= from) {
        m_bytes -= encodedBytes(*m_entries.back());
        m_entries.pop_back();
    }
    m_memberships.erase(m_memberships.lower_bound(from), m_memberships.end());
}

LogIndex RaftLog::chooseCompactionBase(LogIndex applied, std::size_t most, std::size_t bytes) const
{
    std::uint64_t base = applied.value();
    std::size_t kept = 0;
    while (base > m_baseIndex.value() && applied.value() - base < most) {
        kept += encodedBytes(at(LogIndex(base)));
        if (kept > bytes)
            break;
        --base;
    }
    return LogIndex(base);
}

void RaftLog::compact(LogIndex index, Term term)
{
    while (!m_entries.empty() && m_entries.front()->index <= index) {
        m_bytes -= encodedBytes(*m_entries.front());
        m_entries.pop_front();
    }
    m_memberships.erase(m_memberships.begin(), m_memberships.upper_bound(index));
    m_baseIndex = index;
    m_baseTerm = term;
}

std::optional<Membership> RaftLog::newestMembership() const
{
    return membershipAt(lastIndex());
}

std::optional<Membership> RaftLog::membershipAt(LogIndex index) const
{
    const auto after = m_memberships.upper_bound(index);
    if (after == m_memberships.begin())
        return std::nullopt;
    return std::prev(after)->second;
}

} // namespace gentiancross
