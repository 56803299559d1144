/** @file client_pool_test.cpp Tests for kept connections to one server. */
// Labels: product

#include "http/client_pool.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <set>
#include <thread>

using namespace jacinthpond;
using namespace std::chrono_literals;

namespace {

/** A server that records the callers' ports, one for each connection. */
struct CountingServer {
  /** @param At The port to listen at; 0: any. */
  explicit CountingServer(int At = 0) {
    Http.Get("/", [this](const httplib::Request &Asked, httplib::Response &) {
      Ports.insert(Asked.remote_port);
    });
    Http.set_keep_alive_max_count(1000); // The default is five requests.
    if (At == 0)
      Port = Http.bind_to_any_port("127.0.0.1");
    else if (Http.bind_to_port("127.0.0.1", At))
      Port = At;
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
      Pool.send([](BoundedClient &Client) { return Client.Get("/"); });
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

// A server closed the kept connection, as it does when it restarts or when the
// connection was idle for long; the next request must not fail for that reason.
BOOST_AUTO_TEST_CASE(AConnectionThatTheServerClosedIsReplaced) {
  auto Server = std::make_unique<CountingServer>();
  const int Port = Server->Port;
  ClientPool Pool(Server->url(), {1000ms, 1000ms});
  BOOST_TEST(ask(Pool));
  const std::set<int> Before = Server->Ports;
  Server.reset(); // Closes its connections.
  Server = std::make_unique<CountingServer>(Port);
  BOOST_REQUIRE(Server->Port == Port);
  BOOST_TEST(ask(Pool));
  BOOST_TEST(Server->Ports.size() == 1U);
  BOOST_TEST((Server->Ports != Before));
}

// A server that is gone and back, at the same address, is reached again.
BOOST_AUTO_TEST_CASE(AFailedRequestLeavesNoConnectionBehind) {
  auto Server = std::make_unique<CountingServer>();
  const int Port = Server->Port;
  ClientPool Pool(Server->url(), {1000ms, 1000ms});
  BOOST_TEST(ask(Pool));
  Server.reset();
  BOOST_TEST(!ask(Pool));
  BOOST_TEST(!ask(Pool));
  Server = std::make_unique<CountingServer>(Port);
  BOOST_REQUIRE(Server->Port == Port);
  BOOST_TEST(ask(Pool));
}
