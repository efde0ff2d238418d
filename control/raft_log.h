#pragma once

#include "core/replicated_commands.h"

#include <deque>
#include <map>
#include <optional>

namespace gentiancross {

/**
 * The entries of the agreed log after its last snapshot. Pure storage; decides nothing.
 * Thread safety: owned by the control thread.
 */
class RaftLog
{
public:
    [[nodiscard]] LogIndex lastIndex() const;
    [[nodiscard]] Term lastTerm() const;
    [[nodiscard]] LogIndex baseIndex() const { return m_baseIndex; }
    [[nodiscard]] Term baseTerm() const { return m_baseTerm; }
    [[nodiscard]] std::size_t size() const { return m_entries.size(); }
    /** About what the entries take in a journal. */
    [[nodiscard]] std::size_t bytes() const { return m_bytes; }

    /** The term of the entry at \a index, or nothing if it is not held (the base's term is known).
     */
    [[nodiscard]] std::optional<Term> termAt(LogIndex index) const;

    /** Precondition: the entry is held. */
    [[nodiscard]] const LogEntry &at(LogIndex index) const { return *shared(index); }
    /** Precondition: the entry is held. */
    [[nodiscard]] const SharedEntry &shared(LogIndex index) const
    {
        return m_entries[index.value() - m_baseIndex.value() - 1];
    }

    /** True if a log that ends so holds all that is committed, as far as this one tells. */
    [[nodiscard]] bool isCandidateUpToDate(LogIndex lastIndex, Term lastTerm) const;
    /** True if an entry after \a index is of this proposal. */
    [[nodiscard]] bool containsProposalAfter(LogIndex index, const ProposalId &proposal) const;

    /** Precondition: the entry's index is the one after the last. */
    void append(SharedEntry entry);

    /** Drops the entry at \a from and all after it. */
    void truncate(LogIndex from);

    /** The base that leaves the newest entries up to \a applied: at most \a most of them, which
     * take \a bytes at most. Precondition: \a applied is held or is the base. */
    [[nodiscard]] LogIndex chooseCompactionBase(LogIndex applied, std::size_t most,
                                                std::size_t bytes) const;

    /** Drops all entries up to \a index, which becomes the base. */
    void compact(LogIndex index, Term term);

    /** The newest membership in the entries, or nothing if there is none in them. */
    [[nodiscard]] std::optional<Membership> newestMembership() const;

    /** The newest membership at or before \a index, or nothing if there is none in the entries. */
    [[nodiscard]] std::optional<Membership> membershipAt(LogIndex index) const;

private:
    LogIndex m_baseIndex;
    Term m_baseTerm;
    std::deque<SharedEntry> m_entries;
    std::size_t m_bytes = 0;
    /** The entries that hold one; a log is long, and these are asked for with every commit. */
    std::map<LogIndex, Membership> m_memberships;
};

} // namespace gentiancross
