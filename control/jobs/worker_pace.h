#pragma once

#include "core/units.h"

namespace gentiancross {

/**
 * How fast a worker is, by how long its runs took against what their submitters guessed. Guesses
 * are far off, so only the average over several runs counts, and only against the other workers'.
 * Thread safety: a value type.
 */
class WorkerPace
{
public:
    /** A run took \a taken where \a guessed was expected. Precondition: \a guessed is positive. */
    void addRun(Milliseconds taken, Milliseconds guessed);
    /** True if there is enough to go by. */
    [[nodiscard]] bool isKnown() const;
    /** The average of the natural logarithm of taken over guessed. */
    [[nodiscard]] double slowness() const { return m_slowness; }

private:
    double m_slowness = 0;
    unsigned m_runs = 0;
};

/** True if the worker takes over twice as long as is usual. Reentrant. */
bool isSlow(const WorkerPace &worker, const WorkerPace &usual);

} // namespace gentiancross
