/** @file process.h Start, settings, signals and shutdown of both programs. */

#ifndef JACINTHPOND_ADAPTERS_THREADS_PROCESS_H
#define JACINTHPOND_ADAPTERS_THREADS_PROCESS_H

#include "base/error_func.h"
#include "settings/settings_func.h"

#include <functional>
#include <string>

namespace jacinthpond {

/** Exit codes of both programs; documented in docs/OPERATIONS.md. */
enum ExitCode : int {
  ExitDone = 0,    ///< Success, including a graceful shutdown.
  ExitFailed = 1,  ///< The command failed.
  ExitUsage = 2,   ///< Unknown option or command.
  ExitInvalid = 3, ///< A file is invalid; all its errors were printed.
  ExitCutOff = 4   ///< The shutdown timed out and cut off requests.
};

/**
 * Reads a whole file.
 * @param Path Path of the file.
 * @return Its content, or ErrorKind::NotFound when it cannot be read.
 */
Result<std::string> readFile(const std::string &Path);

/**
 * Reads and checks a settings file; prints errors to standard error.
 * @param Path Path of the file.
 * @param Program The program that the settings are for.
 * @return The settings, or nothing when the file is unreadable or invalid.
 */
std::optional<Settings> loadSettings(const std::string &Path,
                                     SettingOwner Program);

/**
 * Gives the number of descriptors that the operating system lets this process
 * open.
 * @return The limit.
 */
size_t descriptorLimit();

/**
 * Keeps the heap small: all threads share one arena of malloc, and freed memory
 * returns to the kernel early. Hosts have little memory, and the threads of a
 * process allocate little at a time. Call before any thread starts.
 */
void keepHeapSmall();

/** Blocks SIGTERM, SIGINT and SIGHUP for waitForSignal(), and ignores SIGPIPE.
 * Call before any thread starts. */
void blockStopSignals();

/** What the main thread does after a signal or a poll of the settings file. */
enum class SignalAction : uint8_t {
  Stop,  ///< End the process: SIGTERM or SIGINT.
  Reload ///< Check the settings file: SIGHUP, or no signal for a while.
};

/**
 * Waits for a signal, at most for the poll interval of the settings file, which
 * may change without a signal.
 * @return Stop or Reload; Reload also when no signal came.
 */
SignalAction waitForSignal();

/**
 * Reloads the settings file whenever it changes, until SIGTERM or SIGINT
 * arrives. An invalid file is logged and otherwise ignored.
 * @param Path Path of the settings file.
 * @param Program The program that the settings are for.
 * @param Apply Called with each new valid version of the settings.
 */
void reloadSettingsUntilStop(
    const std::string &Path, SettingOwner Program,
    const std::function<void(const Settings &)> &Apply);

/**
 * Sets up the log and writes its first line.
 * @param Program Name and version, with a space between them.
 * @param Config Settings with the level and the destination of the log.
 */
void beginLog(const std::string &Program, const Settings &Config);

/**
 * Shuts the program down, logs the start and the outcome, and ends the log.
 * When the shutdown cut off requests, it exits the process at once with
 * ExitCutOff: these requests still hold threads, and joining the threads would
 * wait beyond the time limit of the shutdown.
 * @param Drain Waits for requests in progress; returns false when it cut any
 *        off.
 */
void shutDown(const std::function<bool()> &Drain);

/**
 * Draws the random incarnation that tells restarts of a process apart.
 * @return A number other than 0.
 */
uint64_t randomIncarnation();

/**
 * Prints a JSON line to standard output: the process is ready, and listens on
 * these addresses.
 * @param Addresses Pairs of listener name and address.
 */
void announceReady(
    const std::vector<std::pair<std::string, std::string>> &Addresses);

} // namespace jacinthpond

#endif
