/** @file command_line.h Command lines of both programs, by popt. */

#ifndef JACINTHPOND_ADAPTERS_CLI_COMMAND_LINE_H
#define JACINTHPOND_ADAPTERS_CLI_COMMAND_LINE_H

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace jacinthpond {

/** One option. */
struct CommandOption {
  const char *Name;                         ///< Long name, without dashes.
  char Short;                               ///< Short name; 0: none.
  std::variant<bool *, std::string *> Into; ///< A flag, or a text to set.
  const char *Argument;                     ///< Name of the text in the help.
  const char *Help;                         ///< What it does.
};

/**
 * Reads a command line; --help is answered and ends the program. A fault is
 * told in one line on standard error.
 * @param Program Name of the program.
 * @param Usage What follows the name in the help.
 * @param Options All options.
 * @param Count Number of arguments, the program's name included.
 * @param Arguments The arguments.
 * @return The words that are no options; nothing when there was a fault.
 */
std::optional<std::vector<std::string>>
readCommandLine(const std::string &Program, const std::string &Usage,
                const std::vector<CommandOption> &Options, int Count,
                const char **Arguments);

} // namespace jacinthpond

#endif
