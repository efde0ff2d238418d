#pragma once

#include "drivers/journal_file.h"
#include "servers/event_sink.h"
#include "servers/metrics.h"
#include "servers/work_queue.h"

#include <ace/Task.h>

#include <functional>

namespace gentiancross {

/**
 * Writes the journal on a thread of its own. All that has come while one sync was under way shares
 * the next one. Thread safety: carryOut from any thread.
 */
class JournalWriter final : public EffectHandler, private ACE_Task_Base
{
public:
    /** \a failed is called if the disk fails; the process must then end, since nothing is promised
     * any more. */
    JournalWriter(JournalFile &file, EventSink &events, Metrics &metrics,
                  std::function<void(const absl::Status &)> failed);
    ~JournalWriter() override;

    void start();
    void stop();
    /** Takes Persist effects. */
    void carryOut(Effect effect) override;

private:
    int svc() override;
    absl::Status write(const std::vector<Persist> &batch);

    JournalFile &m_file;
    EventSink &m_events;
    Metrics &m_metrics;
    std::function<void(const absl::Status &)> m_failed;
    WorkQueue<Persist> m_queue;
};

} // namespace gentiancross
