/** @file caller_session_limits.cpp What a caller's connection holds, and how it
 * gives way to others. */

#include "clock/runtime_clock.h"
#include "forward/caller_connections.h"
#include "forward/caller_session.h"

#include <boost/beast/http/write.hpp>

namespace jacinthpond {

namespace http = boost::beast::http;
using Error = boost::system::error_code;

/** Frees what has come of the request; what follows is read and dropped. To
 * close a socket with unread data would reset the connection, and the caller
 * could lose its answer. */
void CallerSession::discardInput() {
  Discarding = true;
  resetParser();
  Buffer.clear();
  Buffer.shrink_to_fit();
  closeAfter(Callbacks.Limits().HeadTimeout);
  report();
  readMore();
}

/** Counts dropped input; a caller that sends more than a request may have does
 * not wait for an answer. */
void CallerSession::handleDiscarded(size_t n) {
  Discarded += n;
  if (Discarded > Callbacks.Limits().MaxBodyBytes)
    close();
  else
    readMore();
}

/** Closes the connection after some time. */
void CallerSession::closeAfter(Duration Time) {
  Timer.expires_after(std::chrono::duration_cast<Millis>(Time));
  Timer.async_wait([Self = shared_from_this()](const Error &ec) {
    if (!ec && !Self->Closed && Self->Timer.expiry() <= RuntimeClock().now())
      Self->close();
  });
}

void CallerSession::giveWay() {
  switch (phase()) {
  case ConnectionPhase::Receiving:
    refuse(CallerRefusal::Memory);
    break;
  case ConnectionPhase::Working:
    report(); // It was chosen for what it did before.
    break;
  default:
    close();
  }
}

void CallerSession::closeForOthers() {
  if (phase() == ConnectionPhase::Receiving) {
    CallerAnswer Refusal = Callbacks.OnBadRequest(CallerRefusal::Connections);
    Refusal.keep_alive(false);
    Refusal.prepare_payload();
    Error Ignored; // The caller also notices the close.
    Socket.non_blocking(true, Ignored);
    http::write(Socket, Refusal, Ignored);
  }
  close();
}

/** What the connection does at the moment. */
ConnectionPhase CallerSession::phase() const {
  if (Discarding || Closing)
    return ConnectionPhase::Closing;
  if (Busy)
    return ConnectionPhase::Working;
  if (backlog() > 0)
    return ConnectionPhase::Sending;
  return Buffer.size() > 0 || HeadDone ? ConnectionPhase::Receiving
                                       : ConnectionPhase::Idle;
}

/** Memory that the connection holds. Fields of a head take about as much again
 * as its text. */
size_t CallerSession::heldBytes() const {
  size_t Body = RequestBytes;
  if (!Busy && RequestParser)
    Body = 2 * HeadBytes + RequestParser->get().body().allocated();
  return sizeof(CallerSession) + Buffer.capacity() + Body +
         Outgoing.capacity() + Writing.capacity();
}

/** Records what the connection does and holds; it may have to give way. */
void CallerSession::report() {
  if (Callbacks.Connections != nullptr && !Closed)
    Callbacks.Connections->record(Id, phase(), heldBytes());
}

} // namespace jacinthpond
