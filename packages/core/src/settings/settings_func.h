/** @file settings_func.h Reading and describing settings. */

#ifndef JACINTHPOND_CORE_SETTINGS_FUNC_H
#define JACINTHPOND_CORE_SETTINGS_FUNC_H

#include "base/error_func.h"
#include "base/time_type.h"
#include "settings/settings_type.h"

#include <string>
#include <string_view>

namespace jacinthpond {

/**
 * Parses and checks a settings file.
 * @param Text JSON with comments; not trusted.
 * @param FileName Name for messages.
 * @param Program Entry or Agent; settings of the other are unknown keys.
 * @return The settings, or ErrorKind::InvalidSettings with all faults, one a
 *         line: file, path, what was found, what is allowed.
 */
Result<Settings> parseSettings(std::string_view Text,
                               const std::string &FileName,
                               SettingOwner Program);

/**
 * Describes all settings of a program for --help-settings.
 * @param Program Entry or Agent.
 * @return A text, one block a setting.
 */
std::string describeSettings(SettingOwner Program);

/**
 * Describes all settings as the page docs/SETTINGS.md.
 * @return The whole page in Markdown.
 */
std::string settingsPage();

/**
 * Says whether the process runs on a platform with a key-value store that lists
 * servers, where entries send requests to back ends themselves.
 * @param Config The settings.
 * @return False on a platform that publishes documents whole.
 */
bool runsOnStore(const Settings &Config);

/**
 * Works out how long a shutdown may wait for work in progress: as long as the
 * setting says, and no longer than the host leaves the process.
 * @param Config The settings.
 * @param ToEnd What ending takes after that.
 * @return The time; at least a quarter of what the host leaves.
 */
Millis shutdownTime(const Settings &Config, Millis ToEnd);

} // namespace jacinthpond

#endif
