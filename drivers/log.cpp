#include "drivers/log.h"

#include "drivers/codec.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <utility>

namespace gentiancross {

namespace {

LogFormat currentFormat = LogFormat::Text;
std::string currentHost;

std::string lineOf(const std::string &subject, const std::string &what)
{
    if (currentFormat == LogFormat::Text)
        return currentHost + ' ' + subject + ": " + what;
    Json::Value line;
    line["host"] = currentHost;
    line["subject"] = subject;
    line["message"] = what;
    return codec::toText(line);
}

} // namespace

void startLog(LogFormat format, const std::string &host, LogStream stream)
{
    currentFormat = format;
    currentHost = host;
    log4cplus::initialize();
    log4cplus::SharedAppenderPtr appender(
            new log4cplus::ConsoleAppender(stream == LogStream::StandardError, true));
    const char *const pattern = format == LogFormat::Text
            ? "%D{%Y-%m-%dT%H:%M:%S.%q} %-5p %m%n"
            : "{\"time\":\"%D{%Y-%m-%dT%H:%M:%S.%q}\",\"level\":\"%p\",\"event\":%m}%n";
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.addAppender(std::move(appender));
    root.setLogLevel(log4cplus::INFO_LOG_LEVEL);
}

void logInfo(const std::string &subject, const std::string &what)
{
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    LOG4CPLUS_INFO(root, lineOf(subject, what));
}

void logWarning(const std::string &subject, const std::string &what)
{
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    LOG4CPLUS_WARN(root, lineOf(subject, what));
}

} // namespace gentiancross
