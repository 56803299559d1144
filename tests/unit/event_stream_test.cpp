/** @file event_stream_test.cpp Streams are cut at whole events. */
// Labels: routes

#include "forwarding/event_stream_func.h"

#include <boost/test/unit_test.hpp>

using namespace jacinthpond;

BOOST_AUTO_TEST_CASE(OnlyWholeEventsLeave) {
  // A caller saw half an event twice: a back end died in the middle of one,
  // the stream went on at another, which sent that event again from its start.
  EventStream Stream;
  std::string Out;
  BOOST_CHECK(putEvents(Stream, "id: 1\ndata: a\n\nid: 2\nda", Out) ==
              EventVerdict::Good);
  BOOST_TEST(Out == "id: 1\ndata: a\n\n");
  dropPartialEvent(Stream);
  BOOST_CHECK(putEvents(Stream, "id: 2\ndata: b\n\n", Out) ==
              EventVerdict::Good);
  BOOST_TEST(Out == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  BOOST_TEST(*Stream.LastId == 2U);
}

BOOST_AUTO_TEST_CASE(AGapBetweenIdsIsNoticed) {
  // An event was missing in an answer that looked whole: the second back end
  // went on one event too late.
  EventStream Stream;
  Stream.LastId = 4;
  std::string Out;
  BOOST_CHECK(putEvents(Stream, "id: 6\ndata: x\n\n", Out) ==
              EventVerdict::OutOfOrder);
  BOOST_TEST(Out.empty());
}

BOOST_AUTO_TEST_CASE(ARepeatedEventIsNoticed) {
  EventStream Stream;
  Stream.LastId = 4;
  std::string Out;
  BOOST_CHECK(putEvents(Stream, "id: 4\ndata: x\n\n", Out) ==
              EventVerdict::OutOfOrder);
}

BOOST_AUTO_TEST_CASE(LinesMayEndEitherWay) {
  EventStream Stream;
  std::string Out;
  BOOST_CHECK(putEvents(Stream, "id:7\r\ndata: x\r\n\r\n", Out) ==
              EventVerdict::Good);
  BOOST_TEST(*Stream.LastId == 7U);
}

BOOST_AUTO_TEST_CASE(AnEndlessEventIsGivenUp) {
  EventStream Stream;
  std::string Out;
  BOOST_CHECK(putEvents(Stream, std::string(MaxEventBytes + 1, 'x'), Out) ==
              EventVerdict::TooLarge);
}
