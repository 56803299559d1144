/** @file silent_connections_test.cpp More connections than descriptors. */
// Labels: routes serial

#include "crowd.h"

using namespace jacinthpond::fleet;

namespace {

/** More than the process may open. */
constexpr size_t Clients = 400;

void checkCrowd(const std::string &Listener, const Script &What) {
  const CrowdedEntry One;
  One.limitDescriptors();
  auto Many = std::make_unique<Crowd>(One.address(Listener), Clients, What);
  Many->play();
  // The connections of the crowd stay open meanwhile.
  One.checkServed(What.Name);
  BOOST_TEST(openDescriptors(One.process().pid()) < MachineDescriptors,
             What.Name);
  One.checkMemory(What.Name);
  Many.reset();
  One.checkServed(What.Name + ", afterwards");
}

} // namespace

// Guards against connections without a request that take all descriptors.
BOOST_AUTO_TEST_CASE(ConnectionsWithoutAByte) {
  checkCrowd("route", {"nothing", {}, {}, 0, {}});
}

BOOST_AUTO_TEST_CASE(ConnectionsWithOneByte) {
  checkCrowd("route", {"one byte", "P", {}, 0, {}});
}

// Guards against the same at other listeners: they share the descriptors.
BOOST_AUTO_TEST_CASE(ConnectionsToTheDirectory) {
  checkCrowd("directory", {"directory", {}, {}, 0, {}});
}

BOOST_AUTO_TEST_CASE(ConnectionsToTheAdministrationApi) {
  checkCrowd("admin", {"administration", {}, {}, 0, {}});
}
