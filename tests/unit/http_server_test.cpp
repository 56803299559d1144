/** @file http_server_test.cpp Tests for starting and stopping HTTP listeners.
 */
// Labels: product

#include "http/guarded_server.h"

#include <boost/test/unit_test.hpp>

using namespace jacinthpond;

// A program stops right after it begins to listen if another of its addresses
// is taken. The HTTP library ignores a stop before its thread accepts, so the
// listener kept running and the program never exited.
BOOST_AUTO_TEST_CASE(AListenerEndsRightAfterItsStart) {
  constexpr int Rounds = 10;
  for (int n = 0; n < Rounds; ++n) {
    GuardedServer Server(adminLimits(ResourceShares{}));
    std::thread Accepting;
    BOOST_REQUIRE(!startServer(Server, "127.0.0.1:0", Accepting).empty());
    Server.drainAndStop(Accepting);
    BOOST_TEST(!Accepting.joinable());
  }
}
