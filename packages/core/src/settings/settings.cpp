/** @file settings.cpp Parses, validates and documents settings. */

#include "settings/settings_func.h"

#include "base/address_func.h"
#include "base/json_reader.h"
#include "table/settings_table.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <set>

namespace jacinthpond {

using Json = nlohmann::json;

namespace {

constexpr std::array<std::string_view, 4> LogLevels = {"debug", "info", "warn",
                                                       "error"};

/** Values of the platform setting. */
constexpr std::array<std::string_view, 2> PlatformNames = {"own", "store"};

/** Checks whether a program reads a setting. */
bool isReadBy(const SettingSpec &Spec, SettingOwner Program) {
  return Spec.Owner == SettingOwner::Both || Spec.Owner == Program;
}

/** Checks whether a text has the required form. */
bool hasForm(const std::string &Text, TextForm Form) {
  switch (Form) {
  case TextForm::Free:
    return true;
  case TextForm::Listen:
    return isAddress(Text, true);
  case TextForm::Peer:
    return isAddress(Text, false);
  case TextForm::Url:
    return isHttpUrl(Text);
  }
  return false;
}

/** Visitor that reads one setting into its member of Settings. */
struct SettingReader {
  ObjectReader &Reader;    ///< Reads the settings file.
  const SettingSpec &Spec; ///< Table row of the setting.
  Settings &Into;          ///< Receives the value.

  void operator()(std::string Settings::*Field) const {
    Into.*Field = Reader.readText(Spec.Key, Spec.Required, Spec.Default);
    checkTextForm(Into.*Field);
  }
  void operator()(std::vector<std::string> Settings::*Field) const {
    Into.*Field = Reader.readTextList(Spec.Key);
    std::ranges::for_each(Into.*Field, [this](const std::string &Element) {
      checkTextForm(Element);
    });
  }
  void operator()(int64_t Settings::*Field) const {
    const int64_t Default = std::strtoll(Spec.Default, nullptr, 10);
    Into.*Field = Reader.readInteger(Spec.Key, Spec.Required, Default, Spec.Min,
                                     Spec.Max);
  }
  void operator()(double Settings::*Field) const {
    Into.*Field = Reader.readNumber(
        Spec.Key, std::strtod(Spec.Default, nullptr),
        static_cast<double>(Spec.Min), static_cast<double>(Spec.Max));
  }
  void operator()(bool Settings::*Field) const {
    const bool Default = std::string_view(Spec.Default) == "true";
    Into.*Field = Reader.readBool(Spec.Key, Default);
  }

private:
  /** Reports a text that lacks the required form. */
  void checkTextForm(const std::string &Text) const {
    if (!Text.empty() && !hasForm(Text, Spec.Form))
      Reader.addError(Spec.Key, "\"" + Text + "\"",
                      std::string(Spec.Unit) + " with an IPv4 number");
  }
};

/** Reports pairs of settings that violate SettingOrders. */
void checkSettingOrders(const Settings &Read, ObjectReader &Reader) {
  for (const SettingOrder &Rule : SettingOrders) {
    const int64_t Lower = Read.*Rule.Lower;
    const int64_t Upper = Read.*Rule.Upper;
    if (Lower < Upper || (Rule.MayEqual && Lower == Upper))
      continue;
    // Settings that only the other program reads are 0.
    if (Lower == 0 && Upper == 0)
      continue;
    Reader.addError(Rule.LowerKey, std::to_string(Lower),
                    std::string(Rule.MayEqual ? "at most " : "below ") +
                        Rule.UpperKey + " (" + std::to_string(Upper) + ")");
  }
}

/** Formats the range of a number; empty for other types. */
std::string rangeText(const SettingSpec &Spec) {
  if (!std::holds_alternative<int64_t Settings::*>(Spec.Field) &&
      !std::holds_alternative<double Settings::*>(Spec.Field))
    return "";
  return std::to_string(Spec.Min) + " to " + std::to_string(Spec.Max);
}

/** Returns the name of the program that reads a setting. */
std::string ownerName(SettingOwner Owner) {
  switch (Owner) {
  case SettingOwner::Both:
    return "both";
  case SettingOwner::Entry:
    return "jacinthpond";
  case SettingOwner::Agent:
    return "jacinthpond-agent";
  }
  return "";
}

/** Formats the default of a setting. */
std::string defaultText(const SettingSpec &Spec) {
  if (Spec.Required)
    return "required";
  return *Spec.Default == '\0' ? "none" : Spec.Default;
}

} // namespace

Result<Settings> parseSettings(std::string_view Text,
                               const std::string &FileName,
                               SettingOwner Program) {
  std::set<std::string> Duplicates;
  BOOST_LEAF_AUTO(Value, parseJson(Text, FileName, ErrorKind::InvalidSettings,
                                   &Duplicates));
  Settings Read;
  ValidationErrors Errors;
  ObjectReader Reader(Value, "", Errors);
  for (const std::string &Key : Duplicates)
    Reader.addError(Key.c_str(), "the key twice",
                    "once, as only one would count");
  for (const SettingSpec &Spec : SettingsTable)
    if (isReadBy(Spec, Program))
      std::visit(SettingReader{Reader, Spec, Read}, Spec.Field);
  Reader.rejectUnknownKeys();
  if (std::ranges::find(LogLevels, Read.LogLevel) == LogLevels.end())
    Reader.addError("log_level", "\"" + Read.LogLevel + "\"",
                    "one of debug, info, warn, error");
  checkSettingOrders(Read, Reader);
  if (Read.LogTo != "stdout" && Read.LogTo != "stderr")
    Reader.addError("log_to", "\"" + Read.LogTo + "\"", "stdout or stderr");
  if (std::ranges::find(PlatformNames, Read.Platform) == PlatformNames.end())
    Reader.addError("platform", "\"" + Read.Platform + "\"", "own or store");
  if (Program == SettingOwner::Agent &&
      Read.EngineUrl.empty() == Read.ServiceUrl.empty())
    Reader.addError("engine_url", "both or none of engine_url and service_url",
                    "one of them");
  if (Errors.Lines.empty())
    return Read;
  for (std::string &Line : Errors.Lines)
    Line = FileName + ": " + Line;
  return fail(ErrorKind::InvalidSettings, Errors.joinErrors());
}

bool isOnStorePlatform(const Settings &Config) {
  return Config.Platform == PlatformNames.back();
}

Millis maxShutdownTime(const Settings &Config, Millis ToEnd) {
  const Millis Setting(Config.ShutdownMillis);
  if (Config.StopGraceSeconds == 0)
    return Setting;
  const Millis Grace(Config.StopGraceSeconds * 1000);
  return std::min(Setting, std::max(Grace - ToEnd, Grace / 4));
}

std::string describeSettings(SettingOwner Program) {
  std::string Text;
  for (const SettingSpec &Spec : SettingsTable) {
    if (!isReadBy(Spec, Program))
      continue;
    const std::string Range = rangeText(Spec);
    Text += std::string(Spec.Key) + " (" + Spec.Unit +
            (Range.empty() ? "" : ", " + Range) + "; default " +
            defaultText(Spec) + ")\n    " + Spec.Text + "\n";
  }
  return Text;
}

std::string settingsPage() {
  std::string Page = "# Settings\n\nMade from the settings table by "
                     "`jacinthpond --settings-page`; a test compares.\n\n"
                     "| setting | program | unit | range | default | what it "
                     "does |\n| --- | --- | --- | --- | --- | --- |\n";
  for (const SettingSpec &Spec : SettingsTable)
    Page += "| `" + std::string(Spec.Key) + "` | " + ownerName(Spec.Owner) +
            " | " + Spec.Unit + " | " + rangeText(Spec) + " | " +
            defaultText(Spec) + " | " + Spec.Text + " |\n";
  return Page;
}

} // namespace jacinthpond
