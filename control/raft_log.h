#pragma once

#include "core/replicated_commands.h"

#include <deque>
#include <map>
#include <optional>

namespace gentiancross {

/**
 * The entries of the replicated log after its compaction base, owned by RaftConsensus. Storage
 * only, without consensus decisions. Thread safety: owned by the control thread.
 */
class RaftLog
{
public:
    [[nodiscard]] LogIndex lastIndex() const;
    [[nodiscard]] Term lastTerm() const;
    [[nodiscard]] LogIndex baseIndex() const { return m_baseIndex; }
    [[nodiscard]] Term baseTerm() const { return m_baseTerm; }
    [[nodiscard]] std::size_t size() const { return m_entries.size(); }
    /** The approximate size of the entries in a journal. */
    [[nodiscard]] std::size_t bytes() const { return m_bytes; }

    /** The term of the entry at \a index, or nothing if the log does not hold it (the base's term
     * is known). */
    [[nodiscard]] std::optional<Term> termAt(LogIndex index) const;

    /** Precondition: the entry is held. */
    [[nodiscard]] const LogEntry &at(LogIndex index) const { return *sharedAt(index); }
    /** Precondition: the entry is held. */
    [[nodiscard]] const SharedEntry &sharedAt(LogIndex index) const
    {
        return m_entries[index.value() - m_baseIndex.value() - 1];
    }

    /** True if a log that ends with this index and term is at least as up to date as this one, so
     * that it may win a vote. */
    [[nodiscard]] bool isCandidateUpToDate(LogIndex lastIndex, Term lastTerm) const;
    /** True if an entry after \a index belongs to this proposal. */
    [[nodiscard]] bool containsProposalAfter(LogIndex index, const ProposalId &proposal) const;

    /** Precondition: the entry's index follows the last index. */
    void append(SharedEntry entry);

    /** Drops the entry at \a from and all entries after it. */
    void truncate(LogIndex from);

    /** The compaction base that retains the newest entries up to \a applied: at most \a maxEntries
     * entries of at most \a maxBytes in total. Precondition: \a applied is held or is the base. */
    [[nodiscard]] LogIndex chooseCompactionBase(LogIndex applied, std::size_t maxEntries,
                                                std::size_t maxBytes) const;

    /** Drops all entries up to \a index, which becomes the base. */
    void compact(LogIndex index, Term term);

    /** The newest membership in the entries, or nothing if they contain none. */
    [[nodiscard]] std::optional<Membership> newestMembership() const;

    /** The newest membership at or before \a index, or nothing if the entries contain none. */
    [[nodiscard]] std::optional<Membership> membershipAt(LogIndex index) const;

private:
    LogIndex m_baseIndex;
    Term m_baseTerm;
    std::deque<SharedEntry> m_entries;
    std::size_t m_bytes = 0;
    /** The memberships in the entries by index: every commit looks them up, and the log is too long
     * to search. */
    std::map<LogIndex, Membership> m_memberships;
};

} // namespace gentiancross
