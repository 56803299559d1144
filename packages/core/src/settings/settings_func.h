/** @file settings_func.h Parses, validates and documents settings. */

#ifndef JACINTHPOND_CORE_SETTINGS_FUNC_H
#define JACINTHPOND_CORE_SETTINGS_FUNC_H

#include "base/error_func.h"
#include "base/time_type.h"
#include "settings/settings_type.h"

#include <string>
#include <string_view>

namespace jacinthpond {

/**
 * Parses and validates a settings file.
 * @param Text JSON with comments; untrusted.
 * @param FileName File name for error messages.
 * @param Program Entry or Agent; settings of the other are unknown keys.
 * @return The settings, or ErrorKind::InvalidSettings with all errors, one on
 *         each line: file, path, found value, allowed values.
 */
Result<Settings> parseSettings(std::string_view Text,
                               const std::string &FileName,
                               SettingOwner Program);

/**
 * Describes all settings of a program, for --help-settings.
 * @param Program Entry or Agent.
 * @return Text with one block for each setting.
 */
std::string describeSettings(SettingOwner Program);

/**
 * Generates the page docs/SETTINGS.md, which lists all settings.
 * @return The complete page in Markdown.
 */
std::string settingsPage();

/**
 * Checks whether the process runs on the `store` platform: a key-value store
 * lists the servers, and entries send requests directly to back ends.
 * @param Config The settings.
 * @return False on a platform that publishes complete documents.
 */
bool isOnStorePlatform(const Settings &Config);

/**
 * Computes how long a shutdown may wait for requests in progress: shutdown_ms,
 * but no longer than the host allows before it kills the process.
 * @param Config The settings.
 * @param ToEnd Time needed to exit after the wait.
 * @return The longest wait; if the host limits it, at least a quarter of
 *         stop_grace_s, or shutdown_ms if that is shorter.
 */
Millis maxShutdownTime(const Settings &Config, Millis ToEnd);

} // namespace jacinthpond

#endif
