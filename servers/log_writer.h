#pragma once

#include "servers/event_sink.h"
#include "servers/work_queue.h"

#include <ace/Task.h>

namespace gentiancross {

/**
 * Writes log lines on its own thread, so that a slow reader of the log does not block other
 * threads. If lines arrive faster than they are written, the oldest are dropped. Thread safety:
 * carryOut from any thread.
 */
class LogWriter final : public EffectHandler, private ACE_Task_Base
{
public:
    LogWriter();
    ~LogWriter() override;

    void start();
    /** Writes the queued lines and ends the thread. */
    void stop();
    /** Handles LogLine effects. */
    void carryOut(Effect effect) override;

private:
    int svc() override;

    WorkQueue<LogLine> m_queue;
};

/** Writes one line synchronously. */
void writeLogLine(const LogLine &line);

} // namespace gentiancross
