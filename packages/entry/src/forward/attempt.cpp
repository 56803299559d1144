/** @file attempt.cpp One attempt of a request at a back end. */

#include "forward/attempt.h"

namespace jacinthpond {

// The owner may drop the attempt in any of its handlers.

bool Attempt::maySendRequest() {
  const auto Self = shared_from_this();
  return Owner.maySendRequest(*this);
}

void Attempt::handleNotices(const ResponseHead &Received) {
  const auto Self = shared_from_this();
  Owner.handleNotices(*this, Received);
}

void Attempt::handleAnswerHead(const ResponseHead &Received) {
  const auto Self = shared_from_this();
  Owner.handleAnswerHead(*this, Received);
}

void Attempt::handleAnswerBody(std::string Bytes) {
  const auto Self = shared_from_this();
  Owner.handleAnswerBody(*this, Bytes);
}

void Attempt::handleAnswerEnd(ResponseEnd How) {
  const auto Self = shared_from_this();
  Owner.handleAnswerEnd(*this, How);
}

void Attempt::handleCallFailure(CallFailure Why, ConnectionEnd End) {
  const auto Self = shared_from_this();
  Owner.handleCallFailure(*this, Why, End);
}

} // namespace jacinthpond
