/** @file agent_admin.h HTTP server for the health and metrics of an agent. */

#ifndef JACINTHPOND_AGENT_AGENT_ADMIN_H
#define JACINTHPOND_AGENT_AGENT_ADMIN_H

#include "agent_shell.h"

#include <memory>
#include <string>
#include <thread>

namespace jacinthpond {

class GuardedServer;

/** HTTP server for /v1/health and /metrics; runs until it is destroyed. */
class AgentAdmin {
public:
  /**
   * Registers the request handlers; no connection is accepted before start().
   * @param Config Settings of the process.
   * @param Agent The agent; must outlive the server.
   */
  AgentAdmin(const Settings &Config, AgentShell &Agent);
  /** Lets answers in progress finish, then ends the server's threads. */
  ~AgentAdmin();
  AgentAdmin(const AgentAdmin &) = delete;
  AgentAdmin &operator=(const AgentAdmin &) = delete;

  /**
   * Listens and starts to accept connections.
   * @return The address in use; empty when listening failed.
   */
  std::string start();

private:
  std::string ListenAddress;
  AgentShell &Agent;
  std::unique_ptr<GuardedServer> Server;
  std::thread AcceptThread;
};

} // namespace jacinthpond

#endif
