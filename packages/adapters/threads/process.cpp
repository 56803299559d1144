/** @file process.cpp What both programs do around their control loop. */

#include "threads/process.h"

#include "log/log.h"

#include <nlohmann/json.hpp>

#include <malloc.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <random>
#include <system_error>

namespace jacinthpond {

namespace {

/** Time between two looks at the settings file, in seconds. */
constexpr time_t SettingsPollSeconds = 2;

sigset_t stopSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  sigaddset(&Signals, SIGHUP);
  return Signals;
}

} // namespace

Result<std::string> readFile(const std::string &Path) {
  const auto Unreadable = [&] {
    const std::string Why = std::generic_category().message(errno);
    return fail(ErrorKind::NotFound, Path + ": cannot be read: " + Why);
  };
  errno = 0;
  std::ifstream File(Path, std::ios::binary);
  if (!File)
    return Unreadable();
  // A folder opens like a file and fails at the first byte. An iterator over
  // the stream's buffer would throw then, and nobody would learn why.
  std::string Text;
  std::array<char, 4096> Part{};
  while (File.read(Part.data(), Part.size()) || File.gcount() > 0)
    Text.append(Part.data(), static_cast<size_t>(File.gcount()));
  if (File.bad())
    return Unreadable();
  return Text;
}

std::optional<Settings> loadSettings(const std::string &Path,
                                     SettingOwner Program) {
  const Outcome<Settings> Read = outcomeOf([&]() -> Result<Settings> {
    BOOST_LEAF_AUTO(Text, readFile(Path));
    return parseSettings(Text, Path, Program);
  });
  if (!Read.Value)
    std::cerr << Read.Why.Detail << "\n";
  return Read.Value;
}

void keepHeapSmall() {
  constexpr int GiveBackAbove = 128 << 10;
  constexpr int GrowBy = 32 << 10;
  mallopt(M_ARENA_MAX, 1);
  mallopt(M_TRIM_THRESHOLD, GiveBackAbove);
  mallopt(M_TOP_PAD, GrowBy);
}

void blockStopSignals() {
  const sigset_t Signals = stopSignals();
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  // A peer that closes its end must not end this process.
  std::signal(SIGPIPE, SIG_IGN);
}

Told waitForSignal() {
  const sigset_t Signals = stopSignals();
  const timespec Longest{SettingsPollSeconds, 0};
  const int Signal = sigtimedwait(&Signals, nullptr, &Longest);
  return Signal == SIGTERM || Signal == SIGINT ? Told::Stop : Told::Reload;
}

void waitForStop(const std::string &Path, SettingOwner Program,
                 const std::function<void(const Settings &)> &Apply) {
  const auto ReadText = [&] {
    return outcomeOf([&] { return readFile(Path); }).Value.value_or("");
  };
  std::string InForce = ReadText();
  while (waitForSignal() != Told::Stop) {
    const std::string Text = ReadText();
    if (Text == InForce || Text.empty())
      continue;
    InForce = Text;
    const auto Read =
        outcomeOf([&] { return parseSettings(Text, Path, Program); });
    if (!Read.Value) {
      logLine(LogPart::Main, LogLevel::Error,
              "event=reload outcome=invalid why=\"" + Read.Why.Detail + "\"");
      continue;
    }
    Apply(*Read.Value);
    logLine(LogPart::Main, LogLevel::Info, "event=reload outcome=applied");
  }
}

void beginLog(const std::string &Program, const Settings &Config) {
  setupLog(Config.Name, Config.LogLevel, Config.LogTo == "stderr");
  logLine(LogPart::Main, LogLevel::Info,
          "event=start program=" + Program.substr(0, Program.find(' ')) +
              " version=\"" + Program + "\" platform=" + Config.Platform +
              " domain=" + Config.Domain);
}

void shutDown(const std::function<bool()> &Drain) {
  logLine(LogPart::Main, LogLevel::Info, "event=stop outcome=draining");
  const bool Whole = Drain();
  logLine(LogPart::Main, LogLevel::Info,
          std::string("event=stop outcome=") + (Whole ? "drained" : "cut_off"));
  endLog();
  if (Whole)
    return;
  std::cerr.flush();
  std::_Exit(ExitCutOff);
}

uint64_t randomIncarnation() {
  std::random_device Source;
  std::uniform_int_distribution<uint64_t> Any(1, UINT64_MAX >> 1U);
  return Any(Source);
}

void announceReady(
    const std::vector<std::pair<std::string, std::string>> &Addresses) {
  nlohmann::json Line = {{"ready", true}};
  for (const auto &[Name, At] : Addresses)
    Line[Name] = At;
  std::cout << Line.dump() << std::endl;
}

} // namespace jacinthpond
