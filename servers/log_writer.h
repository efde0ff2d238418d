#pragma once

#include "servers/event_sink.h"
#include "servers/work_queue.h"

#include <ace/Task.h>

namespace gentiancross {

/**
 * Writes log lines on a thread of its own, so that a slow reader of them delays nobody. Of lines
 * that gather faster than they are written, the oldest are dropped.
 * Thread safety: carryOut from any thread.
 */
class LogWriter final : public EffectHandler, private ACE_Task_Base
{
public:
    LogWriter();
    ~LogWriter() override;

    void start();
    /** Writes what is left and ends the thread. */
    void stop();
    /** Takes LogLine effects. */
    void carryOut(Effect effect) override;

private:
    int svc() override;

    WorkQueue<LogLine> m_queue;
};

/** Writes one line, in the calling thread. */
void writeLogLine(const LogLine &line);

} // namespace gentiancross
