/** @file operator_commands.h Commands of jacinthpond for operators. */

#ifndef JACINTHPOND_ENTRY_OPERATOR_COMMANDS_H
#define JACINTHPOND_ENTRY_OPERATOR_COMMANDS_H

#include "threads/process.h"

#include <string>

namespace jacinthpond {

/** Environment variable with the token, for use without --token-file. */
constexpr const char *TokenVariable = "JACINTHPOND_TOKEN";

/** Address of a running entry and options of a command that queries it. */
struct AdminTarget {
  std::string Admin;     ///< "IP:port" of its administration API.
  std::string TokenFile; ///< File with the token; empty: use TokenVariable.
  bool AsJson = false;   ///< Print the answer as JSON.
};

/**
 * Says whether a command queries a running entry.
 * @param Command Name of the command.
 * @return True for "status", "domains" and "config".
 */
bool isEntryCommand(const std::string &Command);

/**
 * Queries a running entry and prints its answer.
 * @param Command "status", "domains" or "config".
 * @param Target The entry.
 * @return Exit code.
 */
ExitCode runEntryCommand(const std::string &Command, const AdminTarget &Target);

/**
 * Validates a configuration document and prints the result.
 * @param Path File with the document.
 * @return Exit code.
 */
ExitCode checkDocumentFile(const std::string &Path);

/**
 * Validates a configuration document and prints what would change, compared
 * with the document in force at an entry, if it were published.
 * @param Path File with the document.
 * @param Target A running entry.
 * @return Exit code.
 */
ExitCode compareWithEntry(const std::string &Path, const AdminTarget &Target);

} // namespace jacinthpond

#endif
