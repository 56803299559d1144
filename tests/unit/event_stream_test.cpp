/** @file event_stream_test.cpp Splitting a stream at event boundaries. */
// Labels: routes

#include "forwarding/event_stream_func.h"

#include <boost/test/unit_test.hpp>

using namespace jacinthpond;

BOOST_AUTO_TEST_CASE(OnlyCompleteEventsAreForwarded) {
  // Guards against sending half an event twice: a back end died in the middle
  // of an event, and the one that resumed the stream sent it again from its
  // start.
  EventStream Stream;
  std::string Out;
  BOOST_CHECK(appendCompleteEvents(Stream, "id: 1\ndata: a\n\nid: 2\nda",
                                   Out) == EventStreamStatus::Good);
  BOOST_TEST(Out == "id: 1\ndata: a\n\n");
  dropPartialEvent(Stream);
  BOOST_CHECK(appendCompleteEvents(Stream, "id: 2\ndata: b\n\n", Out) ==
              EventStreamStatus::Good);
  BOOST_TEST(Out == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  BOOST_TEST(*Stream.LastId == 2U);
}

BOOST_AUTO_TEST_CASE(AMissingEventIsDetected) {
  // Guards against an answer that lacks an event and looks complete: the second
  // back end resumed it one event too late.
  EventStream Stream;
  Stream.LastId = 4;
  std::string Out;
  BOOST_CHECK(appendCompleteEvents(Stream, "id: 6\ndata: x\n\n", Out) ==
              EventStreamStatus::OutOfOrder);
  BOOST_TEST(Out.empty());
}

BOOST_AUTO_TEST_CASE(ARepeatedEventIsDetected) {
  EventStream Stream;
  Stream.LastId = 4;
  std::string Out;
  BOOST_CHECK(appendCompleteEvents(Stream, "id: 4\ndata: x\n\n", Out) ==
              EventStreamStatus::OutOfOrder);
}

BOOST_AUTO_TEST_CASE(LinesMayEndWithLfOrCrLf) {
  EventStream Stream;
  std::string Out;
  BOOST_CHECK(appendCompleteEvents(Stream, "id:7\r\ndata: x\r\n\r\n", Out) ==
              EventStreamStatus::Good);
  BOOST_TEST(*Stream.LastId == 7U);
}

BOOST_AUTO_TEST_CASE(AnEventAboveTheSizeLimitIsRejected) {
  EventStream Stream;
  std::string Out;
  BOOST_CHECK(appendCompleteEvents(Stream, std::string(MaxEventBytes + 1, 'x'),
                                   Out) == EventStreamStatus::TooLarge);
}

// Guards against comments without end, and against a stream that is begun for
// comments alone, after which no other back end can take over.
BOOST_AUTO_TEST_CASE(CommentsComeWithTheEventBehindThem) {
  EventStream Stream;
  std::string Out;
  BOOST_CHECK(appendCompleteEvents(Stream, ": a\n\n\n\n", Out) ==
              EventStreamStatus::Good);
  BOOST_TEST(Out.empty());
  BOOST_CHECK(appendCompleteEvents(Stream, "data: x\n\n: b\n\n", Out) ==
              EventStreamStatus::Good);
  BOOST_TEST(Out == ": a\n\n\n\ndata: x\n\n: b\n\n");
  for (size_t n = 0; n < 10; ++n) {
    const std::string Long = ":" + std::string(MaxCommentBytes / 2, 'x');
    BOOST_CHECK(appendCompleteEvents(Stream, Long + "\n\ndata: y\n\n", Out) ==
                EventStreamStatus::Good);
  }
  std::string Comments;
  while (Comments.size() <= MaxCommentBytes)
    Comments += ": b\r\n\r\n";
  BOOST_CHECK(appendCompleteEvents(Stream, Comments, Out) ==
              EventStreamStatus::TooLarge);
}
