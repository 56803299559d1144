/** @file main.cpp Program jacinthpond-agent: runs next to one back end. */

#include "agent_admin.h"
#include "agent_shell.h"
#include "cli/command_line.h"
#include "http/http_backends.h"
#include "log/log.h"
#include "platform/store_engine.h"
#include "settings/settings_func.h"
#include "threads/process.h"

#include <iostream>
#include <string>
#include <vector>

namespace jacinthpond {

namespace {

constexpr const char *Version = "jacinthpond-agent 0.1.0";

/**
 * Runs the agent until a stop signal.
 * @return Exit code of the process.
 */
int runAgent(const std::string &SettingsPath) {
  const auto Config = loadSettings(SettingsPath, SettingOwner::Agent);
  if (!Config)
    return ExitInvalid;
  beginLog(Version, *Config);
  const bool OnStore = isOnStorePlatform(*Config);
  HttpEngine DirectEngine(Config->EngineUrl);
  StoreEngine WorkerEngine(Config->EngineUrl);
  EnginePort &Engine =
      OnStore ? static_cast<EnginePort &>(WorkerEngine) : DirectEngine;
  HttpService Service(Config->ServiceUrl);
  HttpOrigin SettingsOrigin(Config->OriginUrl);
  StoreOrigin DocumentOrigin;
  BackEnds Ports;
  Ports.Engine = Config->EngineUrl.empty() ? nullptr : &Engine;
  Ports.Service = Config->ServiceUrl.empty() ? nullptr : &Service;
  Ports.Origin = Config->OriginUrl.empty() ? nullptr : &SettingsOrigin;
  if (OnStore)
    Ports.Origin = &DocumentOrigin;
  AgentShell Shell(*Config, Ports);
  AgentAdmin Admin(*Config, Shell);
  const std::string PeerAddress = Shell.start();
  const std::string AdminAddress = Admin.start();
  if (PeerAddress.empty() || AdminAddress.empty()) {
    logLine(LogPart::Main, LogLevel::Error, "A listening address is taken.");
    return ExitFailed;
  }
  announceReady({{"peers", PeerAddress}, {"admin", AdminAddress}});
  // No setting of an agent can change while it runs.
  reloadSettingsUntilStop(SettingsPath, SettingOwner::Agent,
                          [](const Settings &) {});
  shutDown([&] { return Shell.drain(); });
  return ExitDone;
}

/**
 * Parses the command line and does what it asks for.
 * @return Exit code of the process.
 */
int parseAndRun(int Count, const char **Arguments) {
  std::string SettingsPath;
  bool PrintSettings = false;
  bool PrintVersion = false;
  const auto Positional = parseCommandLine(
      "jacinthpond-agent", "[OPTIONS]",
      {{"settings", 's', &SettingsPath, "FILE", "Settings file"},
       {"help-settings", 0, &PrintSettings, nullptr, "Describe all settings"},
       {"version", 0, &PrintVersion, nullptr, "Print the version"}},
      Count, Arguments);
  if (!Positional)
    return ExitUsage;
  if (!Positional->empty()) {
    std::cerr << "jacinthpond-agent: " << Positional->front()
              << ": unexpected; see --help\n";
    return ExitUsage;
  }
  if (PrintVersion)
    std::cout << Version << "\n";
  if (PrintSettings)
    std::cout << describeSettings(SettingOwner::Agent);
  if (PrintVersion || PrintSettings)
    return ExitDone;
  if (!SettingsPath.empty())
    return runAgent(SettingsPath);
  std::cerr << "jacinthpond-agent: --settings FILE is missing; see --help\n";
  return ExitUsage;
}

} // namespace

} // namespace jacinthpond

int main(int Count, char **Arguments) {
  jacinthpond::keepHeapSmall();
  jacinthpond::blockStopSignals();
  return jacinthpond::parseAndRun(Count, const_cast<const char **>(Arguments));
}
