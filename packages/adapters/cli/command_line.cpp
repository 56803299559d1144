/** @file command_line.cpp Command line parsing of both programs, by popt. */

#include "cli/command_line.h"

#include <popt.h>

#include <cstdlib>
#include <iostream>
#include <memory>

namespace jacinthpond {

namespace {

/** Builds popt's table of options. The value that popt returns for an option is
 * its index in Options, counted from 1. */
std::vector<poptOption> poptTable(const std::vector<CommandOption> &Options) {
  std::vector<poptOption> Table;
  Table.reserve(Options.size() + 2);
  for (const CommandOption &Option : Options) {
    const bool Flag = std::holds_alternative<bool *>(Option.Target);
    Table.push_back(
        {Option.Name, Option.Short,
         static_cast<unsigned>(Flag ? POPT_ARG_NONE : POPT_ARG_STRING), nullptr,
         static_cast<int>(Table.size()) + 1, Option.Help, Option.Argument});
  }
  const std::vector<poptOption> Trailer = {
      POPT_AUTOHELP{nullptr, 0, 0, nullptr, 0, nullptr, nullptr}};
  Table.insert(Table.end(), Trailer.begin(), Trailer.end());
  return Table;
}

/** Stores the value of an option that popt has just read. */
void storeOptionValue(const CommandOption &Option, poptContext Context) {
  if (bool *const *Flag = std::get_if<bool *>(&Option.Target)) {
    **Flag = true;
    return;
  }
  char *Text = poptGetOptArg(Context);
  *std::get<std::string *>(Option.Target) = Text == nullptr ? "" : Text;
  free(Text); // NOLINT: popt allocates by malloc.
}

} // namespace

std::optional<std::vector<std::string>>
parseCommandLine(const std::string &Program, const std::string &Usage,
                 const std::vector<CommandOption> &Options, int Count,
                 const char **Arguments) {
  const std::vector<poptOption> Table = poptTable(Options);
  const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> Context(
      poptGetContext(Program.c_str(), Count, Arguments, Table.data(), 0),
      poptFreeContext);
  poptSetOtherOptionHelp(Context.get(), Usage.c_str());
  int rc = 0;
  while ((rc = poptGetNextOpt(Context.get())) > 0)
    storeOptionValue(Options.at(static_cast<size_t>(rc) - 1), Context.get());
  if (rc < -1) {
    std::cerr << Program << ": " << poptBadOption(Context.get(), 0) << ": "
              << poptStrerror(rc) << "; see --help\n";
    return std::nullopt;
  }
  std::vector<std::string> Positional;
  while (const char *Operand = poptGetArg(Context.get()))
    Positional.emplace_back(Operand);
  return Positional;
}

} // namespace jacinthpond
