#pragma once

#include "core/ids.h"
#include "core/units.h"
#include "core/work.h"

#include <cstdint>
#include <functional>
#include <set>
#include <unordered_map>
#include <vector>

namespace gentiancross {

/** A worker's position in the index; assigned once and never reused. */
using WorkerOrdinal = NumberId<struct WorkerOrdinalTag>;

/** What placement needs to know about a worker. */
struct IndexedWorker
{
    WorkerId id;
    RackId rack;
    Labels labels;
    Resources free;
    /** False while no task may be placed on the worker. */
    bool usable = false;
    /** True while the worker's free capacity is held for a waiting gang. */
    bool held = false;
};

/**
 * The workers of a data centre, indexed by free cores, so that the scheduler finds a fitting one
 * without a scan of all. Thread safety: owned by the control thread.
 */
class WorkerIndex
{
public:
    /** Adds a worker, or replaces its data; whether it is held is kept. */
    WorkerOrdinal put(const IndexedWorker &worker);
    /** Changes only the free resources and whether the worker is usable; true if its free capacity
     * may have increased. Precondition: the worker is known. */
    bool update(WorkerOrdinal ordinal, const Resources &free, bool usable);

    /** Starts or ends holding the worker for a gang. Precondition: the worker is known. */
    void setHeld(WorkerOrdinal ordinal, bool held);

    [[nodiscard]] const IndexedWorker &at(WorkerOrdinal ordinal) const
    {
        return m_workers[ordinal.value()];
    }
    [[nodiscard]] std::size_t size() const { return m_workers.size(); }

    /** Precondition: the worker is known. */
    [[nodiscard]] WorkerOrdinal ordinalOf(const WorkerId &id) const { return m_ordinals.at(id); }

    /** Visits usable workers with at least \a cores free, in ascending order of free cores, until
     * \a visit returns true. */
    void visitLeastFree(MilliCores cores, bool withAccelerators,
                        const std::function<bool(WorkerOrdinal)> &visit) const;
    /** Visits usable workers with at least \a cores free, in descending order of free cores, until
     * \a visit returns true. */
    void visitMostFree(MilliCores cores, bool withAccelerators,
                       const std::function<bool(WorkerOrdinal)> &visit) const;

private:
    using Key = std::pair<MilliCores, WorkerOrdinal>;

    void insertKeys(WorkerOrdinal ordinal);
    void eraseKeys(WorkerOrdinal ordinal);
    [[nodiscard]] const std::set<Key> &order(bool withAccelerators) const;

    std::vector<IndexedWorker> m_workers;
    std::unordered_map<WorkerId, WorkerOrdinal> m_ordinals;
    std::set<Key> m_byCores;
    std::set<Key> m_withAccelerators;
};

} // namespace gentiancross
