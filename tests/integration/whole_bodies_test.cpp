/** @file whole_bodies_test.cpp Many large requests at once. */
// Labels: routes serial

#include "crowd.h"

using namespace jacinthpond::fleet;

namespace {

constexpr size_t Clients = 32;

Script wholeBody(const char *Name, size_t Requests) {
  const std::string Head = postHead("/read/1") +
                           "Content-Length: " + std::to_string(MaxBody) +
                           "\r\n\r\n";
  return {Name, {}, Head + std::string(MaxBody, 'x'), Requests, {}};
}

void checkCrowd(const Script &What) {
  const CrowdedEntry One(Json{{"work_ms", 1500}});
  One.checkBeside(std::make_unique<Crowd>(One.address("route"), Clients, What),
                  What.Name);
}

} // namespace

// Guards against large requests that together take an entry's memory, while
// they arrive and while a server works on them.
BOOST_AUTO_TEST_CASE(LargeRequestsAtOnce) {
  checkCrowd(wholeBody("one each", 1));
}

// Guards against pipelined requests whose connections are read on.
BOOST_AUTO_TEST_CASE(LargeRequestsInSeries) {
  checkCrowd(wholeBody("pipelined", 3));
}
