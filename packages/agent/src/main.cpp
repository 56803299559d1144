/** @file main.cpp Program jacinthpond-agent: the slot beside a back end. */

#include "agent_admin.h"
#include "agent_shell.h"
#include "http/http_backends.h"
#include "log/log.h"
#include "settings_func.h"
#include "threads/process.h"

#include <popt.h>

#include <iostream>
#include <memory>
#include <string>
#include <vector>

namespace jacinthpond {

namespace {

constexpr const char *Version = "jacinthpond-agent 0.1.0";

int serve(const std::string &SettingsPath) {
  const auto Config = loadSettings(SettingsPath, SettingOwner::Agent);
  if (!Config)
    return ExitInvalid;
  setupLog(Config->Name, Config->LogLevel);
  HttpEngine Engine(Config->EngineUrl);
  HttpService Service(Config->ServiceUrl);
  HttpOrigin Origin(Config->OriginUrl);
  BackEnds Beside;
  Beside.Engine = Config->EngineUrl.empty() ? nullptr : &Engine;
  Beside.Service = Config->ServiceUrl.empty() ? nullptr : &Service;
  Beside.Origin = Config->OriginUrl.empty() ? nullptr : &Origin;
  AgentShell Host(*Config, Beside);
  AgentAdmin Admin(*Config, Host);
  const std::string Peers = Host.start();
  const std::string AdminAt = Admin.start();
  if (Peers.empty() || AdminAt.empty()) {
    logLine(LogPart::Main, LogLevel::Error, "A listening address is taken.");
    return ExitFailed;
  }
  announceReady({{"peers", Peers}, {"admin", AdminAt}});
  waitForStopSignal();
  logLine(LogPart::Main, LogLevel::Info, "Shutting down.");
  return Host.drain() ? ExitDone : ExitCutOff;
}

int parseAndRun(int Count, const char **Arguments) {
  char *SettingsPath = nullptr;
  int PrintSettings = 0;
  int PrintVersion = 0;
  const std::vector<poptOption> Options = {
      {"settings", 's', POPT_ARG_STRING, &SettingsPath, 0, "Settings file",
       "FILE"},
      {"help-settings", 0, POPT_ARG_NONE, &PrintSettings, 0,
       "Describe all settings", nullptr},
      {"version", 0, POPT_ARG_NONE, &PrintVersion, 0, "Print the version",
       nullptr},
      POPT_AUTOHELP{nullptr, 0, 0, nullptr, 0, nullptr, nullptr}};
  const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> Context(
      poptGetContext("jacinthpond-agent", Count, Arguments, Options.data(), 0),
      poptFreeContext);
  const int rc = poptGetNextOpt(Context.get());
  const bool Extra = poptPeekArg(Context.get()) != nullptr;
  if (rc < -1 || Extra) {
    std::cerr << "jacinthpond-agent: "
              << (rc < -1 ? poptBadOption(Context.get(), 0)
                          : poptPeekArg(Context.get()))
              << ": not understood; see --help\n";
    return ExitUsage;
  }
  const std::string Path = SettingsPath == nullptr ? "" : SettingsPath;
  free(SettingsPath); // NOLINT: popt allocates by malloc.
  if (PrintVersion != 0)
    std::cout << Version << "\n";
  if (PrintSettings != 0)
    std::cout << describeSettings(SettingOwner::Agent);
  if (PrintVersion != 0 || PrintSettings != 0)
    return ExitDone;
  return serve(Path);
}

} // namespace

} // namespace jacinthpond

int main(int Count, char **Arguments) {
  jacinthpond::blockStopSignals();
  return jacinthpond::parseAndRun(Count, const_cast<const char **>(Arguments));
}
