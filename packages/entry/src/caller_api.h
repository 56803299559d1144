/** @file caller_api.h What callers see of an entry, over HTTP. */

#ifndef JACINTHPOND_ENTRY_CALLER_API_H
#define JACINTHPOND_ENTRY_CALLER_API_H

#include "entry_shell.h"

#include <memory>
#include <string>

namespace jacinthpond {

class GuardedServer;

/** Serves callers until it is destroyed. */
class CallerApi {
public:
  /**
   * Sets up; nothing is accepted yet.
   * @param Config Settings of the process.
   * @param Host The entry; outlives the API.
   */
  CallerApi(const Settings &Config, EntryShell &Host);
  /** Lets answers under way end, then ends the server's threads. */
  ~CallerApi();
  CallerApi(const CallerApi &) = delete;
  CallerApi &operator=(const CallerApi &) = delete;

  /**
   * Starts to accept callers.
   * @return The address in use; empty when it cannot be had.
   */
  std::string start();

private:
  Settings Config;
  EntryShell &Host;
  std::unique_ptr<GuardedServer> Server;
  std::thread Accepting;
};

} // namespace jacinthpond

#endif
