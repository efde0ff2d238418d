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

/** A worker's place in the index; given once and never reused. */
using WorkerOrdinal = NumberId<struct WorkerOrdinalTag>;

/** What placement needs to know of a worker. */
struct IndexedWorker
{
    WorkerId id;
    RackId rack;
    Labels labels;
    Resources free;
    /** False while nothing may be placed on it. */
    bool usable = false;
    /** True while its room is kept for a gang that waits. */
    bool held = false;
};

/**
 * The workers of a data centre, ordered by free processors, so that a fitting one is found without
 * looking at all. Thread safety: owned by the control thread.
 */
class WorkerIndex
{
public:
    /** Puts a worker in, or changes it. */
    WorkerOrdinal put(const IndexedWorker &worker);
    /** Changes only what is free and whether it is usable; true if there may be more room than
     * before. Precondition: the worker is known. */
    bool update(WorkerOrdinal ordinal, const Resources &free, bool usable);

    /** Keeps the worker's room for a gang, or no longer. Precondition: the worker is known. */
    void setHeld(WorkerOrdinal ordinal, bool held);

    [[nodiscard]] const IndexedWorker &at(WorkerOrdinal ordinal) const
    {
        return m_workers[ordinal.value()];
    }
    [[nodiscard]] std::size_t size() const { return m_workers.size(); }

    /** Precondition: the worker is known. */
    [[nodiscard]] WorkerOrdinal ordinalOf(const WorkerId &id) const { return m_ordinals.at(id); }

    /** Visits usable workers with at least these cores free, fewest first, until \a visit returns
     * true. */
    void visitLeastFree(MilliCores cores, bool withAccelerators,
                        const std::function<bool(WorkerOrdinal)> &visit) const;
    /** Visits usable workers, most free cores first, until \a visit returns true. */
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
