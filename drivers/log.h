#pragma once

#include <string>

namespace gentiancross {

/** How log lines are written. */
enum class LogFormat { Text, Json };

/** Where log lines go. */
enum class LogStream { StandardError, StandardOutput };

/** Starts logging, through log4cplus. Call once, before other threads start. */
void startLog(LogFormat format, const std::string &host,
              LogStream stream = LogStream::StandardError);

/** Writes one line at once. Thread safety: any thread. */
void logInfo(const std::string &subject, const std::string &message);
void logWarning(const std::string &subject, const std::string &message);

/** Adds one line to those that flushLog() writes together. Thread safety: any thread. */
void bufferLogLine(bool isWarning, const std::string &subject, const std::string &message);
void flushLog();

} // namespace gentiancross
