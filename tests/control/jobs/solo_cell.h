#pragma once

#include "control/jobs/cell_root.h"

#include <string>
#include <vector>

namespace gentiancross::tests {

/** Runs the only keeper of a cell; the test supplies the events of workers and callers. Its records
 * are synced at once. */
class SoloCell
{
public:
    SoloCell();

    void feed(EventPayload payload);
    /** Advances the time in steps of 50 ms. */
    void advance(std::int64_t milliseconds);
    void call(const CellCall &call);
    /** Ends the process and starts a new one from the durable records. */
    void restart();

    [[nodiscard]] std::vector<CallWorker> &orders() { return m_orders; }
    [[nodiscard]] std::vector<AdviceRequest> &adviceRequests() { return m_adviceRequests; }
    [[nodiscard]] const CallAnswer &lastAnswer() const { return m_lastAnswer; }
    [[nodiscard]] std::size_t warnings() const { return m_warnings; }
    [[nodiscard]] std::size_t maxEffects() const { return m_maxEffects; }
    [[nodiscard]] Instant now() const { return m_now; }

private:
    void startProcess();

    Instant m_now{1'000'000};
    std::unique_ptr<CellRoot> m_root;
    std::vector<JournalRecord> m_durable;
    std::vector<CallWorker> m_orders;
    std::vector<AdviceRequest> m_adviceRequests;
    CallAnswer m_lastAnswer;
    std::size_t m_warnings = 0;
    std::size_t m_maxEffects = 0;
    std::uint64_t m_lastExchange = 0;
    std::uint64_t m_processCount = 0;
};

} // namespace gentiancross::tests
