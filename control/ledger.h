#pragma once

#include "control/request_facts.h"
#include "core/data_centre_records.h"

#include <map>

namespace gentiancross {

/**
 * A data centre's ledger: the numbers of requests accepted, started and ended in each half hour.
 * They are derived from the replicated records, so that every replica of the records has the same
 * counts. A request is counted in the half hour of its acceptance, whenever it starts or ends.
 * Owned and called by DataCentreCopy.
 * Thread safety: owned by the control thread.
 */
class Ledger
{
public:
    /** Counts a record; \a requests is the state before the record. */
    void apply(const DataCentreRecord &record, const std::map<RequestId, RequestFacts> &requests);
    /** Restores the page of a half hour from a snapshot. */
    void restorePage(const LedgerPageRecorded &recorded);

    [[nodiscard]] const std::map<HalfHour, LedgerPage> &pages() const { return m_pages; }
    /** The wall time of the last recorded minute; 0 if there is none. */
    [[nodiscard]] Milliseconds lastMark() const { return m_lastMark; }
    /** Describes the day that begins with \a first; leaves data centre and open requests empty. */
    [[nodiscard]] DataCentreDay describeDay(HalfHour first) const;

private:
    using Requests = std::map<RequestId, RequestFacts>;

    struct EndOfWait
    {
        Milliseconds wall;
        WaitCause cause = WaitCause::Nothing;
    };

    void applyTyped(const RequestAccepted &record, const Requests &requests);
    void applyTyped(const TaskStarting &record, const Requests &requests);
    void applyTyped(const RequestEnded &record, const Requests &requests);
    void applyTyped(const MinuteRecorded &record, const Requests &requests);
    template <typename Record>
    void applyTyped(const Record &, const Requests &)
    {}
    [[nodiscard]] LedgerPage *pageOf(const RequestFacts &facts);
    static void countWait(LedgerPage &page, const RequestId &request, const RequestFacts &facts,
                          const EndOfWait &end);
    void dropOld();

    std::map<HalfHour, LedgerPage> m_pages;
    Milliseconds m_lastMark;
};

/** The class under which the ledger counts the request. Reentrant. */
WorkClass classOf(const RequestFacts &facts);

} // namespace gentiancross
