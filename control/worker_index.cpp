#include "control/worker_index.h"

namespace gentiancross {

WorkerOrdinal WorkerIndex::put(const IndexedWorker &worker)
{
    const auto [found, isNew] = m_ordinals.try_emplace(worker.id, WorkerOrdinal(m_workers.size()));
    const WorkerOrdinal ordinal = found->second;
    if (isNew)
        m_workers.push_back(worker);
    else
        eraseKeys(ordinal);
    const bool held = !isNew && m_workers[ordinal.value()].held;
    m_workers[ordinal.value()] = worker;
    m_workers[ordinal.value()].held = held;
    insertKeys(ordinal);
    return ordinal;
}

bool WorkerIndex::update(WorkerOrdinal ordinal, const Resources &free, bool usable)
{
    IndexedWorker &worker = m_workers[ordinal.value()];
    if (worker.free == free && worker.usable == usable)
        return false;
    const bool mayHaveGrown = usable && (!worker.usable || !free.fitsIn(worker.free));
    eraseKeys(ordinal);
    worker.free = free;
    worker.usable = usable;
    insertKeys(ordinal);
    return mayHaveGrown;
}

void WorkerIndex::setHeld(WorkerOrdinal ordinal, bool held)
{
    m_workers[ordinal.value()].held = held;
}

void WorkerIndex::insertKeys(WorkerOrdinal ordinal)
{
    const IndexedWorker &worker = m_workers[ordinal.value()];
    if (!worker.usable || worker.free.slots <= Slots(0))
        return;
    m_byCores.emplace(worker.free.cores, ordinal);
    if (worker.free.accelerators > Accelerators(0))
        m_withAccelerators.emplace(worker.free.cores, ordinal);
}

void WorkerIndex::eraseKeys(WorkerOrdinal ordinal)
{
    const Key key(m_workers[ordinal.value()].free.cores, ordinal);
    m_byCores.erase(key);
    m_withAccelerators.erase(key);
}

const std::set<WorkerIndex::Key> &WorkerIndex::order(bool withAccelerators) const
{
    return withAccelerators ? m_withAccelerators : m_byCores;
}

void WorkerIndex::visitLeastFree(MilliCores cores, bool withAccelerators,
                                 const std::function<bool(WorkerOrdinal)> &visit) const
{
    const std::set<Key> &keys = order(withAccelerators);
    for (auto key = keys.lower_bound(Key(cores, WorkerOrdinal())); key != keys.end(); ++key) {
        if (visit(key->second))
            return;
    }
}

void WorkerIndex::visitMostFree(MilliCores cores, bool withAccelerators,
                                const std::function<bool(WorkerOrdinal)> &visit) const
{
    const std::set<Key> &keys = order(withAccelerators);
    for (auto key = keys.rbegin(); key != keys.rend() && key->first >= cores; ++key) {
        if (visit(key->second))
            return;
    }
}

} // namespace gentiancross
