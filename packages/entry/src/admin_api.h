/** @file admin_api.h Administration API of an entry, on its own listener. */

#ifndef JACINTHPOND_ENTRY_ADMIN_API_H
#define JACINTHPOND_ENTRY_ADMIN_API_H

#include "entry_shell.h"

#include <memory>
#include <string>
#include <thread>

namespace httplib {
class Server;
} // namespace httplib

namespace jacinthpond {

/** Serves operators until it is destroyed. */
class AdminApi {
public:
  /**
   * Sets up; nothing is accepted yet.
   * @param Config Settings of the process.
   * @param Host The entry; outlives the API.
   */
  AdminApi(const Settings &Config, EntryShell &Host);
  /** Ends the server's threads. */
  ~AdminApi();
  AdminApi(const AdminApi &) = delete;
  AdminApi &operator=(const AdminApi &) = delete;

  /**
   * Starts to accept operators.
   * @return The address in use; empty when it cannot be had.
   */
  std::string start();

private:
  std::string At; ///< Where to listen.
  EntryShell &Host;
  std::unique_ptr<httplib::Server> Server;
  std::thread Accepting;
};

} // namespace jacinthpond

#endif
