/** @file log.cpp Log lines by log4cxx. */

#include "log/log.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

#include <array>

namespace jacinthpond {

namespace {

constexpr std::array<const char *, static_cast<size_t>(LogPart::Count)>
    PartPrefixes = {"main",    "config", "links",    "requests",
                    "weights", "admin",  "admission"};

log4cxx::LevelPtr levelOf(LogLevel Level) {
  switch (Level) {
  case LogLevel::Debug:
    return log4cxx::Level::getDebug();
  case LogLevel::Info:
    return log4cxx::Level::getInfo();
  case LogLevel::Warn:
    return log4cxx::Level::getWarn();
  case LogLevel::Error:
    break;
  }
  return log4cxx::Level::getError();
}

} // namespace

void setupLog(const std::string &Process, const std::string &Level) {
  const auto Layout = std::make_shared<log4cxx::PatternLayout>(
      "%d{yyyy-MM-dd HH:mm:ss.SSS} " + Process + " [%c] %p %m%n");
  const auto Appender = std::make_shared<log4cxx::ConsoleAppender>(
      Layout, log4cxx::ConsoleAppender::getSystemErr());
  log4cxx::BasicConfigurator::configure(Appender);
  log4cxx::Logger::getRootLogger()->setLevel(
      log4cxx::Level::toLevel(Level, log4cxx::Level::getInfo()));
}

void logLine(LogPart Part, LogLevel Level, const std::string &Text) {
  // One logger a part, looked up once: look-ups take a lock in log4cxx.
  static const auto Loggers = [] {
    std::array<log4cxx::LoggerPtr, static_cast<size_t>(LogPart::Count)> All;
    for (size_t n = 0; n < All.size(); ++n)
      All.at(n) = log4cxx::Logger::getLogger(PartPrefixes.at(n));
    return All;
  }();
  const log4cxx::LoggerPtr &Logger = Loggers.at(static_cast<size_t>(Part));
  if (Logger->isEnabledFor(levelOf(Level)))
    Logger->forcedLog(levelOf(Level), Text, LOG4CXX_LOCATION);
}

} // namespace jacinthpond
