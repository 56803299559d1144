/** @file log.cpp Structured log lines of named components, by log4cxx. */

#include "log/log.h"

#include <log4cxx/asyncappender.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>

namespace jacinthpond {

namespace {

/** Value of the field "part", in the order of LogPart. */
constexpr std::array<const char *, static_cast<size_t>(LogPart::Count)>
    PartNames = {"main",    "config", "links",    "requests",
                 "weights", "admin",  "admission"};

/** Converts a level to the one of log4cxx. */
log4cxx::LevelPtr toLog4cxxLevel(LogLevel Level) {
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

/** Lines that wait to be written; beyond them, lines are discarded. */
constexpr int QueueCapacityLines = 1024;
/** Lines of level info or below that are written in one second; the rest is
 * discarded. */
constexpr uint64_t MaxInfoLinesPerSecond = 2000;

/**
 * Applies the limit on lines of level info or below; warnings and errors are
 * always written. In an overload, logging each refusal would cost more than the
 * refusal itself.
 */
bool mayWrite(LogLevel Level) {
  if (Level == LogLevel::Warn || Level == LogLevel::Error)
    return true;
  static std::atomic<int64_t> Second{0};
  static std::atomic<uint64_t> Written{0};
  const int64_t Now = std::chrono::duration_cast<std::chrono::seconds>(
                          std::chrono::steady_clock::now().time_since_epoch())
                          .count();
  if (Second.exchange(Now) != Now)
    Written = 0;
  return ++Written <= MaxInfoLinesPerSecond;
}

/** Turns a sentence into a note's fields; other lines are fields already. */
std::string formatFields(const std::string &Text) {
  if (Text.starts_with("event="))
    return Text;
  std::string Quoted = Text;
  std::ranges::replace(Quoted, '"', '\'');
  return "event=note text=\"" + Quoted + "\"";
}

} // namespace

void setupLog(const std::string &Process, const std::string &Level,
              bool ToStandardError) {
  const auto Layout = std::make_shared<log4cxx::PatternLayout>(
      "time=%d{ISO8601} process=" + Process + " part=%c level=%p %m%n");
  const auto Console = std::make_shared<log4cxx::ConsoleAppender>(
      Layout, ToStandardError ? log4cxx::ConsoleAppender::getSystemErr()
                              : log4cxx::ConsoleAppender::getSystemOut());
  // The reader of the output may be slow or blocked. A full queue discards
  // lines and logs how many, instead of blocking requests.
  const auto Queue = std::make_shared<log4cxx::AsyncAppender>();
  Queue->setBlocking(false);
  Queue->setBufferSize(QueueCapacityLines);
  Queue->addAppender(Console);
  log4cxx::BasicConfigurator::configure(Queue);
  log4cxx::Logger::getRootLogger()->setLevel(
      log4cxx::Level::toLevel(Level, log4cxx::Level::getInfo()));
}

void endLog() { log4cxx::LogManager::shutdown(); }

void logLine(LogPart Part, LogLevel Level, const std::string &Text) {
  // Each logger is looked up once: look-ups take a lock in log4cxx.
  static const auto Loggers = [] {
    std::array<log4cxx::LoggerPtr, static_cast<size_t>(LogPart::Count)> All;
    for (size_t n = 0; n < All.size(); ++n)
      All.at(n) = log4cxx::Logger::getLogger(PartNames.at(n));
    return All;
  }();
  const log4cxx::LoggerPtr &Logger = Loggers.at(static_cast<size_t>(Part));
  if (!Logger->isEnabledFor(toLog4cxxLevel(Level)) || !mayWrite(Level))
    return;
  Logger->forcedLog(toLog4cxxLevel(Level), formatFields(Text),
                    LOG4CXX_LOCATION);
}

} // namespace jacinthpond
