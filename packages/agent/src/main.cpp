/** @file main.cpp Program jacinthpond-agent: the slot beside a back end. */

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

int serve(const std::string &SettingsPath) {
  const auto Config = loadSettings(SettingsPath, SettingOwner::Agent);
  if (!Config)
    return ExitInvalid;
  beginLog(Version, *Config);
  const bool OnStore = runsOnStore(*Config);
  HttpEngine OwnEngine(Config->EngineUrl);
  StoreEngine Worker(Config->EngineUrl);
  EnginePort &Engine = OnStore ? static_cast<EnginePort &>(Worker) : OwnEngine;
  HttpService Service(Config->ServiceUrl);
  HttpOrigin OwnOrigin(Config->OriginUrl);
  StoreOrigin Listed;
  BackEnds Beside;
  Beside.Engine = Config->EngineUrl.empty() ? nullptr : &Engine;
  Beside.Service = Config->ServiceUrl.empty() ? nullptr : &Service;
  Beside.Origin = Config->OriginUrl.empty() ? nullptr : &OwnOrigin;
  if (OnStore)
    Beside.Origin = &Listed;
  AgentShell Host(*Config, Beside);
  AgentAdmin Admin(*Config, Host);
  const std::string Peers = Host.start();
  const std::string AdminAt = Admin.start();
  if (Peers.empty() || AdminAt.empty()) {
    logLine(LogPart::Main, LogLevel::Error, "A listening address is taken.");
    return ExitFailed;
  }
  announceReady({{"peers", Peers}, {"admin", AdminAt}});
  // Nothing that an agent is told may change while it runs.
  waitForStop(SettingsPath, SettingOwner::Agent, [](const Settings &) {});
  shutDown([&] { return Host.drain(); });
  return ExitDone;
}

int parseAndRun(int Count, const char **Arguments) {
  std::string SettingsPath;
  bool PrintSettings = false;
  bool PrintVersion = false;
  const auto Words = readCommandLine(
      "jacinthpond-agent", "[OPTIONS]",
      {{"settings", 's', &SettingsPath, "FILE", "Settings file"},
       {"help-settings", 0, &PrintSettings, nullptr, "Describe all settings"},
       {"version", 0, &PrintVersion, nullptr, "Print the version"}},
      Count, Arguments);
  if (!Words)
    return ExitUsage;
  if (!Words->empty()) {
    std::cerr << "jacinthpond-agent: " << Words->front()
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
    return serve(SettingsPath);
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
