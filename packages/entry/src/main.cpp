/** @file main.cpp Program jacinthpond: entry host and operators' commands. */

#include "admin_api.h"
#include "caller_api.h"
#include "document_func.h"
#include "entry_shell.h"
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

constexpr const char *Version = "jacinthpond 0.1.0";

int serve(const std::string &SettingsPath) {
  const auto Config = loadSettings(SettingsPath, SettingOwner::Entry);
  if (!Config)
    return ExitInvalid;
  setupLog(Config->Name, Config->LogLevel);
  HttpConfig Service(Config->ConfigUrl);
  EntryShell Host(*Config, Service);
  CallerApi Callers(*Config, Host);
  AdminApi Admin(*Config, Host);
  const std::string Peers = Host.start();
  const std::string At = Callers.start();
  const std::string AdminAt = Admin.start();
  if (Peers.empty() || At.empty() || AdminAt.empty()) {
    logLine(LogPart::Main, LogLevel::Error, "A listening address is taken.");
    return ExitFailed;
  }
  announceReady({{"peers", Peers}, {"callers", At}, {"admin", AdminAt}});
  waitForStopSignal();
  logLine(LogPart::Main, LogLevel::Info, "Shutting down.");
  return Host.drain() ? ExitDone : ExitCutOff;
}

int check(const std::string &Path) {
  const auto Read = outcomeOf([&]() -> Result<DocumentPtr> {
    BOOST_LEAF_AUTO(Text, readFile(Path));
    return parseDocument(Text);
  });
  if (!Read.Value) {
    std::cerr << Read.Why.Detail << "\n";
    return ExitInvalid;
  }
  std::cout << Path << ": version " << (*Read.Value)->Version.Value
            << " is valid\n";
  return ExitDone;
}

/** What the command line says. */
struct CommandLine {
  std::string SettingsPath;       ///< --settings.
  bool PrintSettings = false;     ///< --help-settings.
  bool PrintPage = false;         ///< --settings-page.
  bool PrintVersion = false;      ///< --version.
  std::vector<std::string> Words; ///< Command and its arguments.
};

int run(const CommandLine &Line) {
  if (Line.PrintVersion)
    std::cout << Version << "\n";
  if (Line.PrintSettings)
    std::cout << describeSettings(SettingOwner::Entry);
  if (Line.PrintPage)
    std::cout << settingsPage();
  if (Line.PrintVersion || Line.PrintSettings || Line.PrintPage)
    return ExitDone;
  if (Line.Words.size() == 1 && Line.Words[0] == "serve")
    return serve(Line.SettingsPath);
  if (Line.Words.size() == 2 && Line.Words[0] == "check")
    return check(Line.Words[1]);
  std::cerr << "jacinthpond: unknown command; see --help\n";
  return ExitUsage;
}

int parseAndRun(int Count, const char **Arguments) {
  char *SettingsPath = nullptr;
  int PrintSettings = 0;
  int PrintPage = 0;
  int PrintVersion = 0;
  const std::vector<poptOption> Options = {
      {"settings", 's', POPT_ARG_STRING, &SettingsPath, 0,
       "Settings file (serve)", "FILE"},
      {"help-settings", 0, POPT_ARG_NONE, &PrintSettings, 0,
       "Describe all settings", nullptr},
      {"settings-page", 0, POPT_ARG_NONE, &PrintPage, 0,
       "Print docs/SETTINGS.md", nullptr},
      {"version", 0, POPT_ARG_NONE, &PrintVersion, 0, "Print the version",
       nullptr},
      POPT_AUTOHELP{nullptr, 0, 0, nullptr, 0, nullptr, nullptr}};
  const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> Context(
      poptGetContext("jacinthpond", Count, Arguments, Options.data(), 0),
      poptFreeContext);
  poptSetOtherOptionHelp(Context.get(), "[OPTIONS] serve | check FILE");
  const int rc = poptGetNextOpt(Context.get());
  if (rc < -1) {
    std::cerr << "jacinthpond: " << poptBadOption(Context.get(), 0) << ": "
              << poptStrerror(rc) << "\n";
    return ExitUsage;
  }
  CommandLine Line;
  Line.SettingsPath = SettingsPath == nullptr ? "" : SettingsPath;
  free(SettingsPath); // NOLINT: popt allocates by malloc.
  Line.PrintSettings = PrintSettings != 0;
  Line.PrintPage = PrintPage != 0;
  Line.PrintVersion = PrintVersion != 0;
  while (const char *Word = poptGetArg(Context.get()))
    Line.Words.emplace_back(Word);
  return run(Line);
}

} // namespace

} // namespace jacinthpond

int main(int Count, char **Arguments) {
  jacinthpond::blockStopSignals();
  return jacinthpond::parseAndRun(Count, const_cast<const char **>(Arguments));
}
