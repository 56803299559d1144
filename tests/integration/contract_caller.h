/** @file contract_caller.h A caller that keeps to docs/CALLERS.md. */

#ifndef JACINTHPOND_TESTS_INTEGRATION_CONTRACT_CALLER_H
#define JACINTHPOND_TESTS_INTEGRATION_CONTRACT_CALLER_H

#include "fleet/fleet.h"

#include <httplib.h>

#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace jacinthpond::fleet {

/**
 * Keeps its addresses and one connection. Goes to the next address when it is
 * told that nothing ran, or when a repeatable request got no answer.
 */
class ContractCaller {
public:
  /**
   * Starts with addresses that are known from before.
   * @param Known "IP:port" of entries.
   */
  explicit ContractCaller(std::vector<std::string> Known)
      : Addresses(std::move(Known)) {}

  /**
   * Asks until there is an answer, at most for ten seconds.
   * @param Prompt What.
   * @return The last answer.
   */
  Answer ask(const std::string &Prompt) {
    const Json Body = {{"prompt", Prompt}, {"max_tokens", 4}};
    const auto End =
        std::chrono::steady_clock::now() + std::chrono::seconds{10};
    Answer Got;
    do {
      Got = askOnce(Body.dump());
      if (Got.Status == 200)
        return Got;
      ++Tries;
      moveOn(Got);
    } while (std::chrono::steady_clock::now() < End);
    return Got;
  }

  size_t Tries = 0; ///< Answers that sent it to another address.

private:
  Answer askOnce(const std::string &Body) {
    if (!Client) {
      Client = std::make_unique<httplib::Client>("http://" + Addresses.front());
      Client->set_keep_alive(true);
      Client->set_tcp_nodelay(true);
    }
    const httplib::Result Got =
        Client->Post("/v1/classes/reports/requests", {{"X-Tenant", "huts"}},
                     Body, "application/json");
    Answer Read;
    if (!Got)
      return Read;
    Read.Status = Got->status;
    Read.Body = Got->body;
    return Read;
  }

  void moveOn(const Answer &Got) {
    const Json Said = Got.json();
    if (Said.contains("entries"))
      Addresses = Said["entries"].get<std::vector<std::string>>();
    else
      std::rotate(Addresses.begin(), Addresses.begin() + 1, Addresses.end());
    Client.reset();
    std::this_thread::sleep_for(std::chrono::milliseconds{20});
  }

  std::vector<std::string> Addresses;
  std::unique_ptr<httplib::Client> Client;
};

} // namespace jacinthpond::fleet

#endif
