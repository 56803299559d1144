/** @file command_line.h Command line parsing of both programs, by popt. */

#ifndef JACINTHPOND_ADAPTERS_CLI_COMMAND_LINE_H
#define JACINTHPOND_ADAPTERS_CLI_COMMAND_LINE_H

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace jacinthpond {

/** One option of a command line. */
struct CommandOption {
  const char *Name;                           ///< Long name, without dashes.
  char Short;                                 ///< Short name; 0: none.
  std::variant<bool *, std::string *> Target; ///< Flag or text that it sets.
  const char *Argument; ///< Name of its argument in the help.
  const char *Help;     ///< Description in the help.
};

/**
 * Parses a command line and stores the values of its options. --help prints the
 * help and exits the program. An error is printed as one line to standard
 * error.
 * @param Program Name of the program.
 * @param Usage Text after the program's name in the usage line of the help.
 * @param Options All options of the program.
 * @param Count Number of arguments, the program's name included.
 * @param Arguments The arguments.
 * @return The positional arguments; nothing after an error.
 */
std::optional<std::vector<std::string>>
parseCommandLine(const std::string &Program, const std::string &Usage,
                 const std::vector<CommandOption> &Options, int Count,
                 const char **Arguments);

} // namespace jacinthpond

#endif
