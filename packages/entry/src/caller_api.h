/** @file caller_api.h HTTP API of an entry for callers. */

#ifndef JACINTHPOND_ENTRY_CALLER_API_H
#define JACINTHPOND_ENTRY_CALLER_API_H

#include "entry_shell.h"

#include <memory>
#include <string>

namespace jacinthpond {

class GuardedServer;

/** HTTP server for callers; serves from start() until it is destroyed. */
class CallerApi {
public:
  /**
   * Sets up; accepts no connections yet.
   * @param Config Settings of the process.
   * @param Shell The entry; must outlive the API.
   */
  CallerApi(const Settings &Config, EntryShell &Shell);
  /** Waits for open answers to end, then stops the server's threads. */
  ~CallerApi();
  CallerApi(const CallerApi &) = delete;
  CallerApi &operator=(const CallerApi &) = delete;

  /**
   * Starts to accept connections.
   * @return The address in use; empty when it could not be bound.
   */
  std::string start();

private:
  Settings Config;
  EntryShell &Shell;
  std::unique_ptr<GuardedServer> Server;
  std::thread AcceptThread;
};

} // namespace jacinthpond

#endif
