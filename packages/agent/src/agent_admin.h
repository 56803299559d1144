/** @file agent_admin.h Health and metrics of an agent, on its own listener. */

#ifndef JACINTHPOND_AGENT_AGENT_ADMIN_H
#define JACINTHPOND_AGENT_AGENT_ADMIN_H

#include "agent_shell.h"

#include <memory>
#include <string>
#include <thread>

namespace jacinthpond {

class GuardedServer;

/** Serves health and metrics until it is destroyed. */
class AgentAdmin {
public:
  /**
   * Sets up; nothing is accepted yet.
   * @param Config Settings of the process.
   * @param Host The agent; outlives the listener.
   */
  AgentAdmin(const Settings &Config, AgentShell &Host);
  /** Lets answers under way end, then ends the server's threads. */
  ~AgentAdmin();
  AgentAdmin(const AgentAdmin &) = delete;
  AgentAdmin &operator=(const AgentAdmin &) = delete;

  /**
   * Starts to accept.
   * @return The address in use; empty when it cannot be had.
   */
  std::string start();

private:
  std::string At; ///< Where to listen.
  AgentShell &Host;
  std::unique_ptr<GuardedServer> Server;
  std::thread Accepting;
};

} // namespace jacinthpond

#endif
