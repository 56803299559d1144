/** @file operator_commands.h The operators' commands of jacinthpond. */

#ifndef JACINTHPOND_ENTRY_OPERATOR_COMMANDS_H
#define JACINTHPOND_ENTRY_OPERATOR_COMMANDS_H

#include "threads/process.h"

#include <string>

namespace jacinthpond {

/** Environment variable that may hold the token. */
constexpr const char *TokenVariable = "JACINTHPOND_TOKEN";

/** Where and how to ask a running entry. */
struct AdminTarget {
  std::string Admin;     ///< "IP:port" of its administration API.
  std::string TokenFile; ///< File with the token; empty: the environment.
  bool AsJson = false;   ///< Print the answer as it came.
};

/**
 * Says whether a word names a command that asks a running entry.
 * @param Command The word.
 * @return True for "status", "domains" and "config".
 */
bool asksEntry(const std::string &Command);

/**
 * Asks a running entry and prints its answer.
 * @param Command "status", "domains" or "config".
 * @param Target Whom to ask.
 * @return Exit code.
 */
ExitCode askEntry(const std::string &Command, const AdminTarget &Target);

/**
 * Validates a document.
 * @param Path Its file.
 * @return Exit code.
 */
ExitCode checkFile(const std::string &Path);

/**
 * Shows what publishing a document would change.
 * @param Path Its file.
 * @param Target A running entry.
 * @return Exit code.
 */
ExitCode checkAgainst(const std::string &Path, const AdminTarget &Target);

} // namespace jacinthpond

#endif
