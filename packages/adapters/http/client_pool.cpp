/** @file client_pool.cpp HTTP clients of one server with kept connections. */

#include "http/client_pool.h"

#include <utility>

namespace jacinthpond {

ClientPool::ClientPool(std::string Url, ClientLimits Limits)
    : Url(std::move(Url)), Limits(Limits) {}

httplib::Result ClientPool::send(
    const std::function<httplib::Result(BoundedClient &)> &Request) {
  auto Client = take();
  httplib::Result Answer = Request(*Client);
  if (Answer)
    keep(std::move(Client));
  return Answer;
}

/** Takes an idle client, or creates one. The client itself opens another
 * connection when the server has closed the kept one. */
std::unique_ptr<BoundedClient> ClientPool::take() {
  const std::lock_guard Lock(Guard);
  if (Idle.empty()) {
    auto Client = std::make_unique<BoundedClient>(Url, Limits);
    Client->set_keep_alive(true);
    return Client;
  }
  auto Client = std::move(Idle.back());
  Idle.pop_back();
  return Client;
}

/** Keeps a client for the next request. */
void ClientPool::keep(std::unique_ptr<BoundedClient> Client) {
  const std::lock_guard Lock(Guard);
  Idle.push_back(std::move(Client));
}

} // namespace jacinthpond
