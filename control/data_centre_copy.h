#pragma once

#include "control/ledger.h"
#include "control/request_facts.h"
#include "core/journal_records.h"

#include <cstdint>
#include <map>
#include <vector>

namespace gentiancross {

/**
 * One replica's copy of a data centre's state: its requests and ledger, built by applying the
 * authority's records. Owned by MirrorStore; read and extended by the
 * DataCentreAuthority. Thread safety: owned by the control thread.
 */
class DataCentreCopy
{
public:
    [[nodiscard]] Epoch epoch() const { return m_epoch; }
    [[nodiscard]] RecordSequence lastSequence() const { return m_lastSequence; }
    /** True if this holds the full state as of lastSequence(). */
    [[nodiscard]] bool isComplete() const { return m_isComplete; }
    [[nodiscard]] const std::map<RequestId, RequestFacts> &requests() const { return m_requests; }
    [[nodiscard]] std::size_t recordCount() const;
    [[nodiscard]] const Ledger &ledger() const { return m_ledger; }
    /** Summarises the ledger and the open requests for the day that begins with \a first. */
    [[nodiscard]] DataCentreDay describeDay(const DataCentreId &dataCentre, HalfHour first,
                                            Milliseconds wall) const;

    /** Returns the request's facts, or null if it is not known. */
    [[nodiscard]] const RequestFacts *find(const RequestId &request) const;

    /** Applies the record that follows lastSequence(). */
    void apply(const DataCentreRecord &record);
    /**
     * Stages one piece of a full state; the last piece replaces the current state by it.
     * Returns false and ignores the piece if it does not follow the one before.
     */
    bool installPiece(const CopyPiece &piece);
    /** Starts a new epoch from the current state. */
    void beginEpoch(Epoch epoch);
    /** Returns the minimal records that rebuild the current state, in pieces of one message each.
     */
    [[nodiscard]] std::vector<CopyPiece> snapshot(const DataCentreId &dataCentre) const;

private:
    struct Staged
    {
        Epoch epoch;
        RecordSequence sequence;
        std::uint32_t pieces = 0;
        std::vector<DataCentreRecord> records;
    };

    [[nodiscard]] std::vector<DataCentreRecord> minimalRecords() const;
    void applyTyped(const RequestAccepted &record);
    void applyTyped(const TaskStarting &record);
    void applyTyped(const TaskEnded &record);
    void applyTyped(const RequestEnded &record);
    void applyTyped(const RequestForgotten &record);
    void applyTyped(const MinuteRecorded &record);
    void applyTyped(const LedgerPageRecorded &record);
    TaskFacts *findTask(const RequestId &request, std::uint32_t task);

    Epoch m_epoch;
    RecordSequence m_lastSequence;
    bool m_isComplete = false;
    std::map<RequestId, RequestFacts> m_requests;
    Ledger m_ledger;
    /** The pieces received so far of a full state that is not complete yet. */
    Staged m_staged;
};

} // namespace gentiancross
