/** @file main.cpp Program jacinthpond: the entry process and the operators'
 * commands. */

#include "admin_api.h"
#include "caller_api.h"
#include "cli/command_line.h"
#include "entry_shell.h"
#include "http/http_backends.h"
#include "log/log.h"
#include "operator_commands.h"
#include "platform/store_config.h"
#include "platform/store_wire.h"
#include "settings/settings_func.h"
#include "threads/process.h"

#include <iostream>
#include <optional>
#include <string>
#include <vector>

namespace jacinthpond {

namespace {

constexpr const char *Version = "jacinthpond 0.1.0";

/** Runs an entry until it is told to stop. @return Exit code. */
int runEntry(const std::string &SettingsPath) {
  const auto Config = loadSettings(SettingsPath, SettingOwner::Entry);
  if (!Config)
    return ExitInvalid;
  beginLog(Version, *Config);
  const bool OnStore = isOnStorePlatform(*Config);
  HttpConfig HttpService(Config->ConfigUrl);
  StoreConfig Store(Config->ConfigUrl,
                    {Config->DomainRegions, Config->AgentPort});
  ConfigPort &Service =
      OnStore ? static_cast<ConfigPort &>(Store) : HttpService;
  HttpHosts Hosts(Config->HostsUrl);
  const StoreWire Wire;
  TrafficMetrics RouteTimings;
  Forwarder Routes(*Config, Wire, RouteTimings);
  EntryShell Shell(*Config, Service,
                   Config->HostsUrl.empty() ? nullptr : &Hosts,
                   OnStore ? &Routes : nullptr);
  std::optional<CallerApi> Callers;
  if (!Config->CallerListen.empty())
    Callers.emplace(*Config, Shell);
  AdminApi Admin(*Config, Shell);
  const bool RoutesStarted = !OnStore || Routes.start();
  const std::string Peers = Shell.start();
  const std::string CallersAt = Callers ? Callers->start() : "none";
  const std::string AdminAt = Admin.start();
  if (!RoutesStarted || Peers.empty() || CallersAt.empty() || AdminAt.empty()) {
    logLine(LogPart::Main, LogLevel::Error, "A listening address is taken.");
    return ExitFailed;
  }
  announceReady({{"peers", Peers}, {"callers", CallersAt}, {"admin", AdminAt}});
  reloadSettingsUntilStop(
      SettingsPath, SettingOwner::Entry,
      [&](const Settings &Changed) { Routes.reload(Changed); });
  shutDown([&] { return Shell.drain(); });
  return ExitDone;
}

/** Parsed options of the command line. */
struct CommandLine {
  std::string SettingsPath;       ///< Settings file, --settings.
  std::string CompareWith;        ///< Admin API to compare with, --against.
  AdminTarget Target;             ///< --admin, --token-file, --json.
  bool PrintSettings = false;     ///< --help-settings.
  bool PrintSettingsPage = false; ///< --settings-page.
  bool PrintVersion = false;      ///< --version.
};

/** Describes the options and binds each to its member of Line. */
std::vector<CommandOption> commandLineOptions(CommandLine &Line) {
  return {
      {"settings", 's', &Line.SettingsPath, "FILE", "Settings file (serve)"},
      {"admin", 'a', &Line.Target.Admin, "IP:port",
       "Administration API to ask (status, domains, config)"},
      {"against", 0, &Line.CompareWith, "IP:port",
       "Administration API whose configuration to compare with (check)"},
      {"token-file", 0, &Line.Target.TokenFile, "FILE",
       "File with the team's token; else JACINTHPOND_TOKEN holds it"},
      {"json", 0, &Line.Target.AsJson, nullptr, "Print the answer as JSON"},
      {"help-settings", 0, &Line.PrintSettings, nullptr,
       "Describe all settings"},
      {"settings-page", 0, &Line.PrintSettingsPage, nullptr,
       "Print docs/SETTINGS.md"},
      {"version", 0, &Line.PrintVersion, nullptr, "Print the version"}};
}

/** Prints a usage error. @return ExitUsage. */
int reportUsageError(const std::string &What) {
  std::cerr << "jacinthpond: " << What << "; see --help\n";
  return ExitUsage;
}

/** Validates a document; with --against, also compares it with the one in
 * force at a running entry. @return Exit code. */
int runCheckCommand(CommandLine &Line, const std::string &Path) {
  if (Line.CompareWith.empty())
    return checkDocumentFile(Path);
  Line.Target.Admin = Line.CompareWith;
  return compareWithEntry(Path, Line.Target);
}

/** Runs the command that Words names, or prints what an option asks for.
 * @return Exit code. */
int runParsedCommand(CommandLine &Line, const std::vector<std::string> &Words) {
  if (Line.PrintVersion)
    std::cout << Version << "\n";
  if (Line.PrintSettings)
    std::cout << describeSettings(SettingOwner::Entry);
  if (Line.PrintSettingsPage)
    std::cout << settingsPage();
  if (Line.PrintVersion || Line.PrintSettings || Line.PrintSettingsPage)
    return ExitDone;
  if (Words.empty())
    return reportUsageError("no command");
  const std::string &Command = Words.front();
  if (Command == "check")
    return Words.size() == 2 ? runCheckCommand(Line, Words[1])
                             : reportUsageError("check: needs one FILE");
  if (Command != "serve" && !isEntryCommand(Command))
    return reportUsageError(Command + ": unknown command");
  if (Words.size() > 1)
    return reportUsageError(Words[1] + ": unexpected");
  if (Command != "serve")
    return runEntryCommand(Command, Line.Target);
  return Line.SettingsPath.empty()
             ? reportUsageError("--settings FILE is missing")
             : runEntry(Line.SettingsPath);
}

/** Parses the command line and runs its command. @return Exit code. */
int parseAndRun(int Count, const char **Arguments) {
  CommandLine Line;
  const auto Words = parseCommandLine(
      "jacinthpond", "[OPTIONS] serve | check FILE | status | domains | config",
      commandLineOptions(Line), Count, Arguments);
  return Words ? runParsedCommand(Line, *Words) : ExitUsage;
}

} // namespace

} // namespace jacinthpond

int main(int Count, char **Arguments) {
  jacinthpond::keepHeapSmall();
  jacinthpond::blockStopSignals();
  return jacinthpond::parseAndRun(Count, const_cast<const char **>(Arguments));
}
