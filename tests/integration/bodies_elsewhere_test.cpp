/** @file bodies_elsewhere_test.cpp Bodies at listeners that need none. */
// Labels: routes serial

#include "crowd.h"

using namespace jacinthpond::fleet;

namespace {

constexpr size_t Clients = 32;

void checkCrowd(const std::string &Listener, const Script &What) {
  const CrowdedEntry One;
  One.checkBeside(std::make_unique<Crowd>(One.address(Listener), Clients, What),
                  Listener + ", " + What.Name);
}

} // namespace

// Guards against bodies at the readiness check that take an entry's memory.
BOOST_AUTO_TEST_CASE(BodiesAtTheReadinessCheck) {
  checkCrowd("ready", lengthScript(postHead("/readyz"), MaxBody));
}

// Guards against the same at the directory.
BOOST_AUTO_TEST_CASE(BodiesAtTheDirectory) {
  checkCrowd("directory", largeChunksScript(postHead("/directory"), MaxBody));
}
