#pragma once

#include <string>

namespace gentiancross {

/** Format of log lines. */
enum class LogFormat { Text, Json };

/** Stream that log lines are written to. */
enum class LogStream { StandardError, StandardOutput };

/** Starts logging through log4cplus. Call once, before other threads are started. */
void startLog(LogFormat format, const std::string &host,
              LogStream stream = LogStream::StandardError);

/** Writes one line immediately. Thread safety: any thread. */
void logInfo(const std::string &subject, const std::string &message);
void logWarning(const std::string &subject, const std::string &message);

/** Buffers one line until the next flushLog(). Thread safety: any thread. */
void bufferLogLine(bool isWarning, const std::string &subject, const std::string &message);
void flushLog();

} // namespace gentiancross
