/** @file log.cpp Log lines by log4cxx. */

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

/** Lines that wait to be written. */
constexpr int QueuedLines = 1024;
/** Lines of level info or below in one second; above that they are counted. */
constexpr uint64_t LinesPerSecond = 2000;

/**
 * Says whether a line may be written. Under a flood of refusals the lines
 * would cost more than the refusals; warnings and errors are always written.
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
  return ++Written <= LinesPerSecond;
}

/** Sentences become the text of a note; other lines are fields already. */
std::string structured(const std::string &Text) {
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
  // Whoever reads the lines may be slow or stuck: a full queue drops lines, and
  // tells in one line how many, instead of holding up requests.
  const auto Queue = std::make_shared<log4cxx::AsyncAppender>();
  Queue->setBlocking(false);
  Queue->setBufferSize(QueuedLines);
  Queue->addAppender(Console);
  log4cxx::BasicConfigurator::configure(Queue);
  log4cxx::Logger::getRootLogger()->setLevel(
      log4cxx::Level::toLevel(Level, log4cxx::Level::getInfo()));
}

void endLog() { log4cxx::LogManager::shutdown(); }

void logLine(LogPart Part, LogLevel Level, const std::string &Text) {
  // One logger a part, looked up once: look-ups take a lock in log4cxx.
  static const auto Loggers = [] {
    std::array<log4cxx::LoggerPtr, static_cast<size_t>(LogPart::Count)> All;
    for (size_t n = 0; n < All.size(); ++n)
      All.at(n) = log4cxx::Logger::getLogger(PartPrefixes.at(n));
    return All;
  }();
  const log4cxx::LoggerPtr &Logger = Loggers.at(static_cast<size_t>(Part));
  if (!Logger->isEnabledFor(levelOf(Level)) || !mayWrite(Level))
    return;
  Logger->forcedLog(levelOf(Level), structured(Text), LOG4CXX_LOCATION);
}

} // namespace jacinthpond
