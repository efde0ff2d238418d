#pragma once

#include "control/ledger.h"
#include "control/request_facts.h"
#include "core/journal_records.h"

#include <cstdint>
#include <map>
#include <vector>

namespace gentiancross {

/**
 * One replica's copy of a data centre's own state, built by applying the authority's records.
 * Thread safety: owned by the control thread.
 */
class DataCentreCopy
{
public:
    [[nodiscard]] Epoch epoch() const { return m_epoch; }
    [[nodiscard]] RecordSequence held() const { return m_held; }
    /** True if this is a full copy as of `held`. */
    [[nodiscard]] bool isWhole() const { return m_isComplete; }
    [[nodiscard]] const std::map<RequestId, RequestFacts> &requests() const { return m_requests; }
    [[nodiscard]] std::size_t recordCount() const;
    [[nodiscard]] const Ledger &ledger() const { return m_ledger; }
    /** What the ledger and the requests tell of the day that begins with \a first. */
    [[nodiscard]] DataCentreDay describeDay(const DataCentreId &dataCentre, HalfHour first,
                                            Milliseconds wall) const;

    /** The request's facts, or null if there is none of that name. */
    [[nodiscard]] const RequestFacts *find(const RequestId &request) const;

    /** Applies the record after `held`. */
    void apply(const DataCentreRecord &record);
    /**
     * Takes a piece of a full state; the last one puts it in place of this state.
     * Returns false if the piece does not follow the one before; it is then of no use.
     */
    bool take(const CopyPiece &piece);
    /** Starts a new epoch from the state held. */
    void beginEpoch(Epoch epoch);
    /** The fewest records that rebuild the state held, in pieces that fit into a message each. */
    [[nodiscard]] std::vector<CopyPiece> snapshot(const DataCentreId &dataCentre) const;

private:
    struct Staged
    {
        Epoch epoch;
        RecordSequence sequence;
        std::uint32_t pieces = 0;
        std::vector<DataCentreRecord> records;
    };

    [[nodiscard]] std::vector<DataCentreRecord> essence() const;
    void applyTyped(const RequestAccepted &record);
    void applyTyped(const TaskStarting &record);
    void applyTyped(const TaskEnded &record);
    void applyTyped(const RequestEnded &record);
    void applyTyped(const RequestForgotten &record);
    void applyTyped(const MinuteRecorded &record);
    void applyTyped(const LedgerPageRecorded &record);
    TaskFacts *findTask(const RequestId &request, std::uint32_t task);

    Epoch m_epoch;
    RecordSequence m_held;
    bool m_isComplete = false;
    std::map<RequestId, RequestFacts> m_requests;
    Ledger m_ledger;
    /** What has come of a full state whose last piece has not come yet. */
    Staged m_staged;
};

} // namespace gentiancross
