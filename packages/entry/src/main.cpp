/** @file main.cpp Program jacinthpond: entry host and operators' commands. */

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

int serve(const std::string &SettingsPath) {
  const auto Config = loadSettings(SettingsPath, SettingOwner::Entry);
  if (!Config)
    return ExitInvalid;
  beginLog(Version, *Config);
  const bool OnStore = runsOnStore(*Config);
  HttpConfig OwnService(Config->ConfigUrl);
  StoreConfig Store(Config->ConfigUrl,
                    {Config->DomainRegions, Config->AgentPort});
  ConfigPort &Service = OnStore ? static_cast<ConfigPort &>(Store) : OwnService;
  HttpHosts Hosts(Config->HostsUrl);
  const StoreWire Wire;
  TrafficMetrics RouteTimings;
  Forwarder Routes(*Config, Wire, RouteTimings);
  EntryShell Host(*Config, Service, Config->HostsUrl.empty() ? nullptr : &Hosts,
                  OnStore ? &Routes : nullptr);
  std::optional<CallerApi> Callers;
  if (!Config->CallerListen.empty())
    Callers.emplace(*Config, Host);
  AdminApi Admin(*Config, Host);
  const bool Routing = !OnStore || Routes.start();
  const std::string Peers = Host.start();
  const std::string At = Callers ? Callers->start() : "none";
  const std::string AdminAt = Admin.start();
  if (!Routing || Peers.empty() || At.empty() || AdminAt.empty()) {
    logLine(LogPart::Main, LogLevel::Error, "A listening address is taken.");
    return ExitFailed;
  }
  announceReady({{"peers", Peers}, {"callers", At}, {"admin", AdminAt}});
  waitForStop(SettingsPath, SettingOwner::Entry,
              [&](const Settings &Changed) { Routes.reload(Changed); });
  shutDown([&] { return Host.drain(); });
  return ExitDone;
}

/** What the command line says. */
struct CommandLine {
  std::string SettingsPath;   ///< --settings.
  std::string Against;        ///< --against.
  AdminTarget Target;         ///< --admin, --token-file, --json.
  bool PrintSettings = false; ///< --help-settings.
  bool PrintPage = false;     ///< --settings-page.
  bool PrintVersion = false;  ///< --version.
};

std::vector<CommandOption> optionsOf(CommandLine &Line) {
  return {
      {"settings", 's', &Line.SettingsPath, "FILE", "Settings file (serve)"},
      {"admin", 'a', &Line.Target.Admin, "IP:port",
       "Administration API to ask (status, domains, config)"},
      {"against", 0, &Line.Against, "IP:port",
       "Administration API whose configuration to compare with (check)"},
      {"token-file", 0, &Line.Target.TokenFile, "FILE",
       "File with the team's token; else JACINTHPOND_TOKEN holds it"},
      {"json", 0, &Line.Target.AsJson, nullptr, "Print the answer as JSON"},
      {"help-settings", 0, &Line.PrintSettings, nullptr,
       "Describe all settings"},
      {"settings-page", 0, &Line.PrintPage, nullptr, "Print docs/SETTINGS.md"},
      {"version", 0, &Line.PrintVersion, nullptr, "Print the version"}};
}

int usageFault(const std::string &What) {
  std::cerr << "jacinthpond: " << What << "; see --help\n";
  return ExitUsage;
}

int check(CommandLine &Line, const std::string &Path) {
  if (Line.Against.empty())
    return checkFile(Path);
  Line.Target.Admin = Line.Against;
  return checkAgainst(Path, Line.Target);
}

int run(CommandLine &Line, const std::vector<std::string> &Words) {
  if (Line.PrintVersion)
    std::cout << Version << "\n";
  if (Line.PrintSettings)
    std::cout << describeSettings(SettingOwner::Entry);
  if (Line.PrintPage)
    std::cout << settingsPage();
  if (Line.PrintVersion || Line.PrintSettings || Line.PrintPage)
    return ExitDone;
  if (Words.empty())
    return usageFault("no command");
  const std::string &Command = Words.front();
  if (Command == "check")
    return Words.size() == 2 ? check(Line, Words[1])
                             : usageFault("check: needs one FILE");
  if (Command != "serve" && !asksEntry(Command))
    return usageFault(Command + ": unknown command");
  if (Words.size() > 1)
    return usageFault(Words[1] + ": unexpected");
  if (Command != "serve")
    return askEntry(Command, Line.Target);
  return Line.SettingsPath.empty() ? usageFault("--settings FILE is missing")
                                   : serve(Line.SettingsPath);
}

int parseAndRun(int Count, const char **Arguments) {
  CommandLine Line;
  const auto Words = readCommandLine(
      "jacinthpond", "[OPTIONS] serve | check FILE | status | domains | config",
      optionsOf(Line), Count, Arguments);
  return Words ? run(Line, *Words) : ExitUsage;
}

} // namespace

} // namespace jacinthpond

int main(int Count, char **Arguments) {
  jacinthpond::keepHeapSmall();
  jacinthpond::blockStopSignals();
  return jacinthpond::parseAndRun(Count, const_cast<const char **>(Arguments));
}
