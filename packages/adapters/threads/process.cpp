/** @file process.cpp Start, settings, signals and shutdown of both programs. */

#include "threads/process.h"

#include "log/log.h"

#include <nlohmann/json.hpp>

#include <malloc.h>
#include <sys/resource.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <limits>
#include <random>
#include <system_error>

namespace jacinthpond {

namespace {

/** Time between two checks whether the settings file changed, in seconds. */
constexpr time_t SettingsPollSeconds = 2;

/** The signals that waitForSignal() takes. */
sigset_t handledSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  sigaddset(&Signals, SIGHUP);
  return Signals;
}

} // namespace

Result<std::string> readFile(const std::string &Path) {
  const auto FailUnreadable = [&] {
    const std::string Why = std::generic_category().message(errno);
    return fail(ErrorKind::NotFound, Path + ": cannot be read: " + Why);
  };
  errno = 0;
  std::ifstream File(Path, std::ios::binary);
  if (!File)
    return FailUnreadable();
  // A directory opens like a file, and its first read fails. An iterator over
  // the stream's buffer would throw then and lose the reason.
  std::string Text;
  std::array<char, 4096> Buffer{};
  while (File.read(Buffer.data(), Buffer.size()) || File.gcount() > 0)
    Text.append(Buffer.data(), static_cast<size_t>(File.gcount()));
  if (File.bad())
    return FailUnreadable();
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

size_t descriptorLimit() {
  rlimit Limit{};
  return getrlimit(RLIMIT_NOFILE, &Limit) == 0
             ? static_cast<size_t>(Limit.rlim_cur)
             : std::numeric_limits<size_t>::max();
}

void keepHeapSmall() {
  constexpr int TrimThresholdBytes = 128 << 10;
  constexpr int TopPadBytes = 32 << 10;
  mallopt(M_ARENA_MAX, 1);
  mallopt(M_TRIM_THRESHOLD, TrimThresholdBytes);
  mallopt(M_TOP_PAD, TopPadBytes);
}

void blockStopSignals() {
  const sigset_t Signals = handledSignals();
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  // Writing to a socket that the peer has closed must not end this process.
  std::signal(SIGPIPE, SIG_IGN);
}

SignalAction waitForSignal() {
  const sigset_t Signals = handledSignals();
  const timespec PollInterval{SettingsPollSeconds, 0};
  const int Signal = sigtimedwait(&Signals, nullptr, &PollInterval);
  return Signal == SIGTERM || Signal == SIGINT ? SignalAction::Stop
                                               : SignalAction::Reload;
}

void reloadSettingsUntilStop(
    const std::string &Path, SettingOwner Program,
    const std::function<void(const Settings &)> &Apply) {
  const auto ReadText = [&] {
    return outcomeOf([&] { return readFile(Path); }).Value.value_or("");
  };
  std::string CurrentText = ReadText();
  while (waitForSignal() != SignalAction::Stop) {
    const std::string Text = ReadText();
    if (Text == CurrentText || Text.empty())
      continue;
    CurrentText = Text;
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
  const bool Drained = Drain();
  logLine(LogPart::Main, LogLevel::Info,
          std::string("event=stop outcome=") +
              (Drained ? "drained" : "cut_off"));
  endLog();
  if (Drained)
    return;
  std::cerr.flush();
  std::_Exit(ExitCutOff);
}

uint64_t randomIncarnation() {
  std::random_device Source;
  std::uniform_int_distribution<uint64_t> Incarnations(1, UINT64_MAX >> 1U);
  return Incarnations(Source);
}

void announceReady(
    const std::vector<std::pair<std::string, std::string>> &Addresses) {
  nlohmann::json Line = {{"ready", true}};
  for (const auto &[Name, ListenAddress] : Addresses)
    Line[Name] = ListenAddress;
  std::cout << Line.dump() << std::endl;
}

} // namespace jacinthpond
