#include "control/evacuation/evacuation_handler.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace gentiancross {

namespace {

constexpr Milliseconds WaitLineInterval{10'000};
/** Keeps a sender that repeats a refused order from filling the log. */
constexpr Milliseconds RefusalLineInterval{1000};
/** If the settings list no data centres, any name may belong to the cell. This bounds what calls
 * with invented names can store; no cell has as many. */
constexpr std::size_t MaxUnlistedDataCentres = 1000;

} // namespace

EvacuationHandler::EvacuationHandler(Instant now, std::set<DataCentreId> configured,
                                     const JobStoreData &store, WorkerPool &pool,
                                     CallDecisionHandler &decisions)
    : m_configured(std::move(configured))
    , m_store(store)
    , m_pool(pool)
    , m_decisions(decisions)
    , m_takenOver(now)
    , m_nextWaitLine(now)
{
    for (const DataCentreId &dataCentre : m_store.evacuatedDataCentres)
        m_pool.setEvacuated(dataCentre, true);
}

void EvacuationHandler::handle(Instant now, const CallOrigin &origin, const BeginEvacuation &call,
                               Outbox &out)
{
    if (!admit(now, origin, call.dataCentre, call.age, true, out))
        return;
    m_decisions.apply(EvacuationBegun{call.dataCentre});
    m_pool.setEvacuated(call.dataCentre, true);
    out.count(CellEvent::EvacuationBegun);
    const EvacuationList state = describe();
    const auto entry = std::find_if(
            state.evacuated.begin(), state.evacuated.end(),
            [&call](const auto &evacuated) { return evacuated.dataCentre == call.dataCentre; });
    out.note("evacuation",
             absl::StrCat("begun: data_centre=", call.dataCentre.value(), " age=", call.age.value(),
                          " workers=", entry->workers, " runs=", entry->runs,
                          " workers_elsewhere=", state.workersElsewhere));
    m_decisions.answer(origin, CallDone{});
}

void EvacuationHandler::handle(Instant now, const CallOrigin &origin, const EndEvacuation &call,
                               Outbox &out)
{
    if (!admit(now, origin, call.dataCentre, call.age, false, out))
        return;
    m_decisions.apply(EvacuationEnded{call.dataCentre});
    out.count(CellEvent::EvacuationEnded);
    out.note("evacuation",
             absl::StrCat("ended: data_centre=", call.dataCentre.value(),
                          " age=", call.age.value()));
    m_decisions.answer(origin, CallDone{});
}

bool EvacuationHandler::admit(Instant now, const CallOrigin &origin, const DataCentreId &dataCentre,
                              Milliseconds age, bool isBegin, Outbox &out)
{
    const bool isEvacuated = m_store.evacuatedDataCentres.contains(dataCentre);
    if (!isEvacuated && !mayBelongToCell(dataCentre)) {
        refuse(now, origin, dataCentre,
               {Refusal::NoSuchDataCentre, "evacuation: the cell has no such data centre", {}},
               out);
        return false;
    }
    // A message from a relaying host that has been tampered with must not pass for a later order.
    const Instant arrivedAt = now - std::max(age, Milliseconds(0));
    if (isEvacuated == isBegin) {
        // The operator retries, so what was sent before this retry is older than what is in force.
        Instant &orderedAt = m_orderedAt.try_emplace(dataCentre, m_takenOver).first->second;
        orderedAt = std::max(orderedAt, arrivedAt);
        m_decisions.answer(origin, CallDone{});
        return false;
    }
    const auto ordered = m_orderedAt.find(dataCentre);
    // The operator sends its orders one after the other, so an order that arrived before the one in
    // force is a late copy. Should the operator still wait for it, it tries again after a 5xx.
    if (arrivedAt < (ordered == m_orderedAt.end() ? m_takenOver : ordered->second)) {
        refuse(now, origin, dataCentre,
               {Refusal::Unavailable, "evacuation: another order may have come later", {}}, out);
        return false;
    }
    m_orderedAt.insert_or_assign(dataCentre, arrivedAt);
    return true;
}

void EvacuationHandler::refuse(Instant now, const CallOrigin &origin,
                               const DataCentreId &dataCentre, CallRefused answer, Outbox &out)
{
    out.count(CellEvent::EvacuationOrderRefused);
    ++m_unloggedRefusals;
    if (now >= m_nextRefusalLine) {
        m_nextRefusalLine = now + RefusalLineInterval;
        out.add(LogLine{true, "evacuation",
                        absl::StrCat("refused: data_centre=", dataCentre.value(), " reason=\"",
                                     answer.reason,
                                     "\" refusals=", std::exchange(m_unloggedRefusals, 0))});
    }
    m_decisions.answer(origin, std::move(answer));
}

bool EvacuationHandler::mayBelongToCell(const DataCentreId &dataCentre) const
{
    const bool isUnlisted = m_configured.empty()
            && (m_orderedAt.size() < MaxUnlistedDataCentres || m_orderedAt.contains(dataCentre));
    return isUnlisted || m_configured.contains(dataCentre)
            || std::any_of(m_pool.all().begin(), m_pool.all().end(),
                           [&dataCentre](const auto &entry) {
                               return entry.second.report.dataCentre == dataCentre;
                           });
}

EvacuationList EvacuationHandler::describe() const
{
    std::map<DataCentreId, EvacuatedDataCentre> evacuated;
    for (const DataCentreId &dataCentre : m_store.evacuatedDataCentres)
        evacuated[dataCentre].dataCentre = dataCentre;
    EvacuationList list;
    for (const auto &[incarnation, worker] : m_pool.all()) {
        if (worker.isClaim())
            continue;
        const auto found = evacuated.find(worker.report.dataCentre);
        if (found == evacuated.end()) {
            ++list.workersElsewhere;
            continue;
        }
        ++found->second.workers;
        found->second.runs += worker.runs.size();
    }
    for (auto &[dataCentre, entry] : evacuated)
        list.evacuated.push_back(std::move(entry));
    return list;
}

void EvacuationHandler::list(const CallOrigin &origin)
{
    m_decisions.answer(origin, describe());
}

void EvacuationHandler::recordEndDurable(const DataCentreId &dataCentre)
{
    if (!m_store.evacuatedDataCentres.contains(dataCentre))
        m_pool.setEvacuated(dataCentre, false);
}

void EvacuationHandler::tick(Instant now, Outbox &out)
{
    if (m_store.evacuatedDataCentres.empty() || now < m_nextWaitLine)
        return;
    m_nextWaitLine = now + WaitLineInterval;
    const EvacuationList state = describe();
    if (state.workersElsewhere > 0)
        return;
    out.add(LogLine{true, "evacuation",
                    absl::StrCat("nothing is started: no worker outside the evacuated data "
                                 "centres: data_centres=",
                                 state.evacuated.size())});
}

} // namespace gentiancross
