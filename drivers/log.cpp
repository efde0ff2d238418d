#include "drivers/log.h"

#include "drivers/codec.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <iostream>
#include <utility>

namespace gentiancross {

namespace {

LogFormat currentFormat = LogFormat::Text;
std::string currentHost;

std::string formatLine(const std::string &subject, const std::string &message)
{
    if (currentFormat == LogFormat::Text)
        return currentHost + ' ' + subject + ": " + message;
    std::string line = R"({"host":)";
    codec::write(line, currentHost);
    line += R"(,"message":)";
    codec::write(line, message);
    line += R"(,"subject":)";
    codec::write(line, subject);
    return line + '}';
}

} // namespace

void startLog(LogFormat format, const std::string &host, LogStream stream)
{
    currentFormat = format;
    currentHost = host;
    log4cplus::initialize();
    log4cplus::SharedAppenderPtr appender(
            new log4cplus::ConsoleAppender(stream == LogStream::StandardError, false));
    const char *const pattern = format == LogFormat::Text
            ? "%D{%Y-%m-%dT%H:%M:%S.%q} %-5p %m%n"
            : "{\"time\":\"%D{%Y-%m-%dT%H:%M:%S.%q}\",\"level\":\"%p\",\"event\":%m}%n";
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.addAppender(std::move(appender));
    root.setLogLevel(log4cplus::INFO_LOG_LEVEL);
}

void logInfo(const std::string &subject, const std::string &message)
{
    bufferLogLine(false, subject, message);
    flushLog();
}

void logWarning(const std::string &subject, const std::string &message)
{
    bufferLogLine(true, subject, message);
    flushLog();
}

void bufferLogLine(bool isWarning, const std::string &subject, const std::string &message)
{
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    if (isWarning)
        LOG4CPLUS_WARN(root, formatLine(subject, message));
    else
        LOG4CPLUS_INFO(root, formatLine(subject, message));
}

void flushLog()
{
    std::cout.flush();
    std::cerr.flush();
}

} // namespace gentiancross
