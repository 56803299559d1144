/** @file process.h What both programs do around their control loop. */

#ifndef JACINTHPOND_ADAPTERS_THREADS_PROCESS_H
#define JACINTHPOND_ADAPTERS_THREADS_PROCESS_H

#include "base/error_func.h"
#include "settings/settings_func.h"

#include <functional>
#include <string>

namespace jacinthpond {

/** Exit codes of both programs; documented in docs/OPERATIONS.md. */
enum ExitCode : int {
  ExitDone = 0,    ///< All went well; a graceful shutdown too.
  ExitFailed = 1,  ///< The request could not be carried out.
  ExitUsage = 2,   ///< Unknown option or command.
  ExitInvalid = 3, ///< A file is invalid; all faults were printed.
  ExitCutOff = 4   ///< Shutdown took too long and cut off work.
};

/**
 * Reads a whole file.
 * @param Path Its path.
 * @return Its content, or NotFound.
 */
Result<std::string> readFile(const std::string &Path);

/**
 * Reads and checks a settings file; prints faults to standard error.
 * @param Path Its path.
 * @param Program Whose settings.
 * @return The settings, or nothing.
 */
std::optional<Settings> loadSettings(const std::string &Path,
                                     SettingOwner Program);

/**
 * Keeps the heap small: one pool for all threads, and what is freed is given
 * back early. Hosts are small, and a process's threads allocate little at a
 * time. Call before any thread starts.
 */
void keepHeapSmall();

/** Blocks the signals below; call before any thread starts. */
void blockStopSignals();

/** What a process is told from outside. */
enum class Told : uint8_t {
  Stop,  ///< SIGTERM or SIGINT.
  Reload ///< SIGHUP, or the settings file may have changed without a signal.
};

/**
 * Waits for a signal, and wakes up now and then since the settings file may
 * change without one.
 * @return What is to be done.
 */
Told waitForSignal();

/**
 * Waits for the stop signal. Whenever the settings file has changed, it is read
 * and checked again; an invalid one changes nothing.
 * @param Path The settings file.
 * @param Program Whose settings.
 * @param Apply Takes settings that were changed and are valid.
 */
void waitForStop(const std::string &Path, SettingOwner Program,
                 const std::function<void(const Settings &)> &Apply);

/**
 * Begins the log and writes its first line.
 * @param Program Name and version, with a space between them.
 * @param Config Settings that say where lines go.
 */
void beginLog(const std::string &Program, const Settings &Config);

/**
 * Shuts the program down, with a line before and after, and ends the log. After
 * a shutdown that cut off work it ends the process at once with ExitCutOff: the
 * work still holds threads; ending them in order would wait for it after all
 * and the time limit of the shutdown would mean nothing.
 * @param Drain Ends the work; tells whether none was cut off.
 */
void shutDown(const std::function<bool()> &Drain);

/**
 * Makes a random incarnation.
 * @return Never 0.
 */
uint64_t randomIncarnation();

/**
 * Prints the line that tells which addresses are in use, as JSON.
 * @param Addresses Pairs of name and address.
 */
void announceReady(
    const std::vector<std::pair<std::string, std::string>> &Addresses);

} // namespace jacinthpond

#endif
