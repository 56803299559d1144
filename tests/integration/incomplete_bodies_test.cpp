/** @file incomplete_bodies_test.cpp Clients that stop before the end of a body.
 */
// Labels: routes serial

#include "crowd.h"

using namespace jacinthpond::fleet;

namespace {

constexpr size_t Clients = 32;

void checkCrowd(const Script &What) {
  const CrowdedEntry One;
  One.checkBeside(std::make_unique<Crowd>(One.address("route"), Clients, What),
                  What.Name);
}

} // namespace

// Guards against bodies without end that together take an entry's memory.
BOOST_AUTO_TEST_CASE(BodiesOfALengthThatStop) {
  checkCrowd(lengthScript(postHead("/read/1"), MaxBody));
}

BOOST_AUTO_TEST_CASE(BodiesInLargeChunksThatStop) {
  checkCrowd(largeChunksScript(postHead("/read/1"), MaxBody));
}

BOOST_AUTO_TEST_CASE(BodiesOfOneChunkThatStop) {
  checkCrowd(oneChunkScript(postHead("/read/1"), MaxBody));
}

// Guards against heads that are never complete, which no request counts.
BOOST_AUTO_TEST_CASE(HeadsThatStop) {
  const CrowdedEntry One;
  Script What{"heads",
              postHead("/read/1") + "X: " + std::string(15000, 'x'),
              {},
              0,
              {}};
  One.checkBeside(std::make_unique<Crowd>(One.address("route"), 200, What),
                  What.Name);
}
