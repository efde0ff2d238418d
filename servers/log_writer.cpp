#include "servers/log_writer.h"

#include "drivers/log.h"

namespace gentiancross {

namespace {

/** About a second's lines of a loaded leader. */
constexpr std::size_t MaxQueuedLines = 4000;

} // namespace

void writeLogLine(const LogLine &line)
{
    if (line.warning)
        logWarning(line.subject, line.what);
    else
        logInfo(line.subject, line.what);
}

LogWriter::LogWriter()
    : m_queue(MaxQueuedLines)
{}

LogWriter::~LogWriter()
{
    stop();
}

void LogWriter::start()
{
    activate();
}

void LogWriter::stop()
{
    m_queue.close();
    wait();
}

void LogWriter::carryOut(Effect effect)
{
    m_queue.put(std::get<LogLine>(std::move(effect)));
}

int LogWriter::svc()
{
    for (std::vector<LogLine> batch = m_queue.takeAll(); !batch.empty();
         batch = m_queue.takeAll()) {
        for (const LogLine &line : batch)
            bufferLogLine(line.warning, line.subject, line.what);
        flushLog();
    }
    return 0;
}

} // namespace gentiancross
