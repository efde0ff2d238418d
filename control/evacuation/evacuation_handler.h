#pragma once

#include "control/jobs/call_handler.h"
#include "control/jobs/worker_pool.h"
#include "control/outbox.h"
#include "core/job_calls.h"

#include <map>
#include <set>

namespace gentiancross {

/**
 * Handles the operator's orders to evacuate data centres for the leader, and keeps the pool's flags
 * up to date. The order that reached the cell last is in force; the calls carry no sequence number.
 * Thread safety: owned by the control thread.
 */
class EvacuationHandler
{
public:
    /** \a configured are the cell's data centres by the settings; if empty, any may belong to it.
     * The references must outlive this object. */
    EvacuationHandler(Instant now, std::set<DataCentreId> configured, const JobStoreData &store,
                      WorkerPool &pool, CallDecisionHandler &decisions);

    void handle(Instant now, const CallOrigin &origin, const BeginEvacuation &call, Outbox &out);
    void handle(Instant now, const CallOrigin &origin, const EndEvacuation &call, Outbox &out);
    /** Replaces the data centres by the settings, which have been read again. */
    void setConfigured(std::set<DataCentreId> configured) { m_configured = std::move(configured); }
    /** Answers a ListEvacuations. */
    void list(const CallOrigin &origin);
    /** Lets work be started in the data centre again, unless the operator has evacuated it anew.
     * Called only once the record is durable: an earlier start would be one in a data centre that
     * is evacuated still if the record is lost with this leader. */
    void recordEndDurable(const DataCentreId &dataCentre);
    /** Logs now and then that work waits because all workers are in evacuated data centres. */
    void tick(Instant now, Outbox &out);

private:
    /** True if the order changes what is in force and may be carried out. Answers it otherwise. */
    bool admit(Instant now, const CallOrigin &origin, const DataCentreId &dataCentre,
               Milliseconds age, bool isBegin, Outbox &out);
    void refuse(Instant now, const CallOrigin &origin, const DataCentreId &dataCentre,
                CallRefused answer, Outbox &out);
    [[nodiscard]] bool mayBelongToCell(const DataCentreId &dataCentre) const;
    [[nodiscard]] EvacuationList describe() const;

    std::set<DataCentreId> m_configured;
    const JobStoreData &m_store;
    WorkerPool &m_pool;
    CallDecisionHandler &m_decisions;
    /** When this leader took over; it does not know when earlier orders came. */
    Instant m_takenOver;
    /** When the order that is in force came, for the data centres that this leader has had one for.
     */
    std::map<DataCentreId, Instant> m_orderedAt;
    Instant m_nextWaitLine;
    Instant m_nextRefusalLine;
    std::uint64_t m_unloggedRefusals = 0;
};

} // namespace gentiancross
