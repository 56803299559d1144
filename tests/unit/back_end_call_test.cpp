/** @file back_end_call_test.cpp One request on a connection to a back end. */
// Labels: routes

#include "forward/back_end_call.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>

using namespace jacinthpond;
using Tcp = boost::asio::ip::tcp;

namespace {

/** Nothing is expected to come. */
struct NoEvents : CallEvents {
  void callHead(const ResponseHead &) override { BOOST_ERROR("a head came"); }
  void callBody(std::string) override { BOOST_ERROR("a body came"); }
  void callEnded() override { BOOST_ERROR("the answer ended"); }
  void callFailed(CallFailure) override { BOOST_ERROR("the call failed"); }
};

} // namespace

BOOST_AUTO_TEST_CASE(ACallThatIsGivenUpIsReset) {
  // Workers' hosts stood still with requests in their sockets. The entries gave
  // these up, the callers left, and on waking the workers read 29 of them, 2 s
  // after their callers had left: the connections had ended in order, behind
  // whole requests.
  boost::asio::io_context Io;
  Tcp::acceptor Listening(Io, {boost::asio::ip::address_v4::loopback(), 0});
  BackEndConnections Kept;
  NoEvents Events;
  CallPlan Plan;
  Plan.To.Value =
      "127.0.0.1:" + std::to_string(Listening.local_endpoint().port());
  Plan.Bytes = "GET /read/1 HTTP/1.1\r\nHost: a\r\n\r\n";
  const auto Call = std::make_shared<BackEndCall>(Io, Kept, Plan, Events);
  Call->start(Millis(1000));
  Tcp::socket Worker = Listening.accept();
  while (Worker.available() < Plan.Bytes.size())
    Io.run_one_for(std::chrono::milliseconds(10));
  Call->cancel();
  std::string Came;
  boost::system::error_code How;
  boost::asio::read(Worker, boost::asio::dynamic_buffer(Came), How);
  BOOST_TEST(How == boost::asio::error::connection_reset);
}
