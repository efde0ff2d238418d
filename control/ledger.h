#pragma once

#include "control/request_facts.h"
#include "core/data_centre_records.h"

#include <map>

namespace gentiancross {

/**
 * A data centre's ledger: what was accepted, started and ended in each half hour, built from the
 * records that are promised anyway. So whatever holds the records holds the counts.
 * Each request is counted in the half hour of its acceptance, whenever it starts or ends.
 * Thread safety: owned by the control thread.
 */
class Ledger
{
public:
    /** Counts a record; \a requests is the state before it. */
    void note(const DataCentreRecord &record, const std::map<RequestId, RequestFacts> &requests);
    /** Takes a half hour up again. */
    void keep(const LedgerPageRecorded &kept);

    [[nodiscard]] const std::map<HalfHour, LedgerPage> &pages() const { return m_pages; }
    /** The wall time of the last minute that was marked; 0 if none was. */
    [[nodiscard]] Milliseconds lastMark() const { return m_lastMark; }
    /** The day that begins with \a first; data centre and open requests are left empty. */
    [[nodiscard]] DataCentreDay describeDay(HalfHour first) const;

private:
    using Requests = std::map<RequestId, RequestFacts>;

    struct WaitEnd
    {
        Milliseconds wall;
        WaitCause cause = WaitCause::Nothing;
    };

    void noteTyped(const RequestAccepted &record, const Requests &requests);
    void noteTyped(const TaskStarting &record, const Requests &requests);
    void noteTyped(const RequestEnded &record, const Requests &requests);
    void noteTyped(const MinuteRecorded &record, const Requests &requests);
    template <typename Record>
    void noteTyped(const Record &, const Requests &)
    {}
    [[nodiscard]] LedgerPage *pageOf(const RequestFacts &facts);
    static void noteWait(LedgerPage &page, const RequestId &request, const RequestFacts &facts,
                         const WaitEnd &end);
    void dropOld();

    std::map<HalfHour, LedgerPage> m_pages;
    Milliseconds m_lastMark;
};

/** What the ledger counts the request by. Reentrant. */
WorkClass classOf(const RequestFacts &facts);

} // namespace gentiancross
