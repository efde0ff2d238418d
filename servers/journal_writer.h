#pragma once

#include "drivers/journal_file.h"
#include "servers/event_sink.h"
#include "servers/metrics.h"
#include "servers/work_queue.h"

#include <ace/Task.h>

#include <functional>

namespace gentiancross {

/**
 * Writes the journal on its own thread and reports each sync to the control thread. Records that
 * arrive during a sync are written in one batch and share the next sync (group commit). Thread
 * safety: carryOut from any thread.
 */
class JournalWriter final : public EffectHandler, private ACE_Task_Base
{
public:
    /** \a onFailure is called if a write or sync fails; the process must then exit, since
     * durability is no longer guaranteed. */
    JournalWriter(JournalFile &file, EventSink &events, Metrics &metrics,
                  std::function<void(const absl::Status &)> onFailure);
    ~JournalWriter() override;

    void start();
    void stop();
    /** Handles Persist effects. */
    void carryOut(Effect effect) override;

private:
    int svc() override;
    absl::Status write(const std::vector<Persist> &batch);

    JournalFile &m_file;
    EventSink &m_events;
    Metrics &m_metrics;
    std::function<void(const absl::Status &)> m_onFailure;
    WorkQueue<Persist> m_queue;
};

} // namespace gentiancross
