/** @file client_pool_test.cpp Tests for kept connections to one server. */
// Labels: product

#include "http/client_pool.h"

#include <boost/test/unit_test.hpp>

#include <set>
#include <thread>

using namespace jacinthpond;
using namespace std::chrono_literals;

namespace {

/** A server that records the callers' ports, one for each connection. */
struct CountingServer {
  CountingServer() {
    Http.Get("/", [this](const httplib::Request &Asked, httplib::Response &) {
      Ports.insert(Asked.remote_port);
    });
    Http.set_keep_alive_max_count(1000); // The default is five requests.
    Port = Http.bind_to_any_port("127.0.0.1");
    Accepting = std::thread([this] { Http.listen_after_bind(); });
    while (!Http.is_running())
      std::this_thread::yield();
  }
  ~CountingServer() {
    Http.stop();
    Accepting.join();
  }
  std::string url() const { return "http://127.0.0.1:" + std::to_string(Port); }

  httplib::Server Http;  ///< The server.
  std::set<int> Ports;   ///< Ports of all connections.
  int Port = 0;          ///< Where it listens.
  std::thread Accepting; ///< Thread that accepts connections.
};

/** Sends a request for "/". */
bool ask(ClientPool &Pool) {
  const auto Answer =
      Pool.send([](httplib::Client &Client) { return Client.Get("/"); });
  return Answer && Answer->status == 200;
}

} // namespace

// Staging a set of weights opened a connection for each of its chunks.
BOOST_AUTO_TEST_CASE(ManyRequestsShareAConnection) {
  CountingServer Server;
  ClientPool Pool(Server.url(), {1000ms, 1000ms});
  for (int n = 0; n < 20; ++n)
    BOOST_TEST(ask(Pool));
  BOOST_TEST(Server.Ports.size() == 1U);
}

// A server closes connections that were idle for long; the next request must
// not fail for that reason.
BOOST_AUTO_TEST_CASE(AConnectionThatTheServerClosedIsReplaced) {
  CountingServer Server;
  Server.Http.set_keep_alive_timeout(1);
  ClientPool Pool(Server.url(), {1000ms, 1000ms});
  BOOST_TEST(ask(Pool));
  std::this_thread::sleep_for(1500ms);
  BOOST_TEST(ask(Pool));
  BOOST_TEST(Server.Ports.size() == 2U);
}

// A server that is gone and back, at the same address, is reached again.
BOOST_AUTO_TEST_CASE(AFailedRequestLeavesNoConnectionBehind) {
  ClientPool Pool("http://127.0.0.1:1", {200ms, 200ms});
  BOOST_TEST(!ask(Pool));
  BOOST_TEST(!ask(Pool));
}
