/** @file back_end_call.cpp One HTTP request to a back end and its response. */

#include "forward/back_end_call.h"

#include "clock/runtime_clock.h"
#include "forward/socket_options.h"
#include "http/response_head.h"
#include "log/log.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <charconv>
#include <exception>
#include <utility>

namespace jacinthpond {

namespace http = boost::beast::http;
using Tcp = boost::asio::ip::tcp;
using Error = boost::system::error_code;

namespace {

/** Size of one read; an event of a stream has a few hundred bytes. */
constexpr size_t ReadBytes = 4096;
/** Longest line or trailer of the framing of a response. */
constexpr size_t MaxFramingBytes = MaxResponseHeadBytes;
/** Most bytes that a call reads beside the body of its response: framing,
 * interim responses, and responses to earlier requests. */
constexpr size_t MaxOtherBytes = 1 << 20;
/** Bytes of framing allowed for each byte of a body, beyond that: a chunk of
 * one byte has five. */
constexpr size_t FramingPerBodyByte = 16;
/** Longest rest of an unwanted body that is read to keep the connection, and
 * the longest time for it. */
constexpr size_t MaxRestBytes = 64 << 10;
constexpr Millis RestTimeout{500};
/** Longest wait for the rest of a request to be sent, once its response has
 * ended with the sending side of the connection. */
constexpr Millis UploadTimeout{500};
/** Smallest status of a response (RFC 9110, 15). */
constexpr unsigned MinStatus = 100;
/** Idle limit for back ends that don't send a Keep-Alive timeout. */
constexpr Millis DefaultIdleLimit{4000};
/** Share of the announced Keep-Alive timeout that is used: a request sent near
 * the end of it could cross the back end's close. */
constexpr double IdleLimitShare = 0.5;

/** Computes how long a connection may stay idle from "timeout=N", in seconds,
 * of the Keep-Alive header. */
Millis idleLimit(const ResponseHead &Head) {
  const auto it = Head.find(http::field::keep_alive);
  if (it == Head.end())
    return DefaultIdleLimit;
  constexpr std::string_view Name = "timeout=";
  const std::string_view Value(it->value().data(), it->value().size());
  const size_t At = Value.find(Name);
  if (At == std::string_view::npos)
    return DefaultIdleLimit;
  int64_t Seconds = 0;
  const char *Begin = Value.data() + At + Name.size();
  std::from_chars(Begin, Value.data() + Value.size(), Seconds);
  return Millis(static_cast<int64_t>(1000 * IdleLimitShare *
                                     static_cast<double>(Seconds)));
}

/** Says why a connection could not be opened. */
ConnectionEnd connectFailure(const Error &Bad) {
  return Bad == boost::asio::error::connection_refused ? ConnectionEnd::Refused
                                                       : ConnectionEnd::Failed;
}

} // namespace

BackEndCall::BackEndCall(boost::asio::io_context &Io,
                         BackEndConnectionPool &Pool, BackEndRequest Request,
                         BackEndCallHandler &Handler)
    : Io(Io), Pool(Pool), Request(std::move(Request)), Handler(&Handler),
      Timer(Io) {}

void BackEndCall::start(Millis ConnectLimit) {
  if (!Request.ForceNewConnection)
    OpenConnection = Pool.take(Request.To, RuntimeClock().now());
  Reused = OpenConnection != nullptr;
  if (Reused)
    writeRequest();
  else
    connect(ConnectLimit);
}

/** Opens a new connection, then sends the request. */
void BackEndCall::connect(Millis Limit) {
  // Addresses in a document are valid; if not, connecting to port 0 fails.
  const Tcp::endpoint To =
      parseEndpoint(Request.To.Value).value_or(Tcp::endpoint());
  OpenConnection = std::make_unique<BackEndConnection>(
      BackEndConnection{Tcp::socket(Io), {}, Request.To, {}, {}});
  const auto Self = shared_from_this();
  Timer.expires_after(Limit);
  Timer.async_wait([Self](const Error &Expired) {
    if (!Expired && !Self->Sent)
      Self->reportFailure(CallFailure::Unreached, ConnectionEnd::TimedOut);
  });
  OpenConnection->Socket.async_connect(To, [Self](const Error &Bad) {
    if (Self->Handler == nullptr)
      return;
    if (Bad) {
      Self->reportFailure(CallFailure::Unreached, connectFailure(Bad));
      return;
    }
    Self->writeRequest();
  });
}

/** Prepares to parse the next response on the connection. */
void BackEndCall::resetParser() {
  ResponseParser.emplace();
  ResponseParser->header_limit(MaxResponseHeadBytes);
  ResponseParser->body_limit(boost::none);
  ResponseParser->eager(true);
  ResponseParser->skip(Request.NoResponseBody);
  HeadDone = false;
  ForOtherAttempt = false;
}

/** Writes the request and starts to read the response. */
void BackEndCall::writeRequest() {
  const auto Self = shared_from_this(); // The handler may drop this call.
  Timer.cancel();
  if (!Handler->maySendRequest()) {
    reportFailure(CallFailure::Withheld, ConnectionEnd::Open);
    return;
  }
  Sent = true;
  setTrafficOptions(OpenConnection->Socket);
  resetParser();
  std::vector<boost::asio::const_buffer> Parts;
  if (Request.Body)
    Parts = Request.Body->buffers();
  Parts.insert(Parts.begin(), boost::asio::buffer(Request.Bytes));
  boost::asio::async_write(OpenConnection->Socket, Parts,
                           [Self](const Error &ec, size_t) {
                             Self->runStep([&] { Self->handleWritten(ec); });
                           });
  readMore();
}

/** Handles the end of the write. A failed one fails the read too, which handles
 * it: a response may have come before. */
void BackEndCall::handleWritten(const Error &ec) {
  Write = ec ? WriteState::Failed : WriteState::Done;
  if (AwaitingWrite && Handler != nullptr)
    endClosedResponse();
}

/** Runs a step; an exception ends the call. Nothing else would end the request
 * before its deadline. */
template <typename StepType> void BackEndCall::runStep(const StepType &Step) {
  try {
    Step();
  } catch (const std::exception &Why) {
    logLine(LogPart::Requests, LogLevel::Error,
            "event=response_fault at=" + Request.To.Value +
                " why=" + Why.what());
    reportFailure(CallFailure::Broken, ConnectionEnd::Malformed);
  }
}

/** Reads the next bytes of the response. */
void BackEndCall::readMore() {
  OpenConnection->Socket.async_read_some(
      OpenConnection->Buffer.prepare(ReadBytes),
      [Self = shared_from_this()](const Error &ec, size_t n) {
        if (Self->Handler != nullptr)
          Self->runStep([&] { Self->handleRead(ec, n); });
      });
}

/** Handles the end of a read: more bytes of the response, or its end. */
void BackEndCall::handleRead(const Error &ec, size_t n) {
  if (!ec) {
    ReceivedAny = true;
    OpenConnection->Buffer.commit(n);
    parse();
  } else if (ec == boost::asio::error::eof) {
    handleEndOfInput();
  } else {
    handleClose(ConnectionEnd::Reset);
  }
}

/** Handles the end of what the back end sends. It completes a response without
 * a length if the connection was not reset. */
void BackEndCall::handleEndOfInput() {
  // Only one of write and read is told of a reset; the other one may be told of
  // an end of file.
  if (isBroken(*OpenConnection)) {
    handleClose(ConnectionEnd::Reset);
    return;
  }
  Error Bad;
  if (HeadDone && !ForOtherAttempt)
    ResponseParser->put_eof(Bad);
  if (Bad || !ResponseParser->is_done()) {
    handleClose(ConnectionEnd::Closed);
    return;
  }
  OpenConnection->IdleLimit = Millis{0};
  takeBody();
  if (Handler == nullptr)
    return;
  if (Write != WriteState::Open) {
    endClosedResponse();
    return;
  }
  // A back end that has ended resets the connection on the rest of the request.
  AwaitingWrite = true;
  Timer.expires_after(UploadTimeout);
  Timer.async_wait([Self = shared_from_this()](const Error &ec) {
    if (!ec && Self->Handler != nullptr)
      Self->runStep([&] { Self->endClosedResponse(); });
  });
}

/** Ends the call after a response that ended with its connection. */
void BackEndCall::endClosedResponse() {
  Timer.cancel();
  if (Write == WriteState::Failed || isBroken(*OpenConnection))
    handleClose(ConnectionEnd::Reset);
  else
    finish(ResponseEnd::Closed);
}

bool BackEndCall::closeEnded() {
  const bool Broken = isBroken(*OpenConnection);
  closeConnection();
  return !Broken;
}

/** Reports a connection that ended before the response was complete. */
void BackEndCall::handleClose(ConnectionEnd End) {
  reportFailure(
      Reused && !ReceivedAny ? CallFailure::Stale : CallFailure::Broken, End);
}

/** Parses the received bytes and passes the response to the handler. */
void BackEndCall::parse() {
  while (Handler != nullptr && parseNext()) {
    if (Handler != nullptr && !isWithinBounds())
      reportFailure(CallFailure::Broken, ConnectionEnd::Malformed);
  }
  if (Handler == nullptr)
    return;
  if (OpenConnection->Buffer.size() > MaxFramingBytes || !isWithinBounds())
    reportFailure(CallFailure::Broken, ConnectionEnd::Malformed);
  else
    readMore();
}

/** Parses as much as the parser takes at a time; false when it needs more. */
bool BackEndCall::parseNext() {
  Error ec;
  const auto Unparsed = OpenConnection->Buffer.data();
  const size_t n = ResponseParser->put(Unparsed, ec);
  // The parser takes whole lines of a head, and would join folded ones.
  const bool IsFolded =
      !HeadDone &&
      hasFoldedLine({static_cast<const char *>(Unparsed.data()), n});
  OpenConnection->Buffer.consume(n);
  OtherBytes += n; // takeBody() subtracts the body.
  const bool HasHead = ResponseParser->is_header_done();
  if ((ec && ec != http::error::need_more) || IsFolded ||
      (HasHead && ResponseParser->get().result_int() < MinStatus)) {
    reportFailure(CallFailure::Broken, ConnectionEnd::Malformed);
    return false;
  }
  if (HasHead && !HeadDone && !processHead())
    return true;
  if (Handler != nullptr && HeadDone)
    takeBody();
  if (Handler == nullptr)
    return false;
  if (ResponseParser->is_done() && ForOtherAttempt) {
    resetParser(); // The response to this request follows.
    return true;
  }
  if (ResponseParser->is_done()) {
    finish(ResponseEnd::Marked);
    return false;
  }
  if (HeadDone && !ForOtherAttempt && !BodyWanted) {
    endBeforeBody();
    return false;
  }
  return ec != http::error::need_more && n > 0 &&
         OpenConnection->Buffer.size() > 0;
}

/** Handles a parsed head; false for an interim (1xx) one. */
bool BackEndCall::processHead() {
  const auto &Head = ResponseParser->get();
  const unsigned Status = Head.result_int();
  if (Status < 200) {
    resetParser();
    return false;
  }
  HeadDone = true;
  Handler->handleNotices(Head);
  // A late response to an earlier request may arrive first. It is recognized by
  // its attempt id; its body is read and dropped.
  const auto Id = Head.find(Request.AttemptIdHeader);
  ForOtherAttempt = !Request.AttemptId.empty() && Id != Head.end() &&
                    Id->value() != Request.AttemptId;
  if (ForOtherAttempt)
    return true;
  OpenConnection->IdleLimit =
      ResponseParser->keep_alive() ? idleLimit(Head) : Millis{0};
  Handler->handleAnswerHead(Head);
  return true;
}

/** Passes the newly parsed part of the body to the handler, or drops it. */
void BackEndCall::takeBody() {
  std::string &Body = ResponseParser->get().body();
  if (Body.empty())
    return;
  std::string Part;
  Part.swap(Body);
  if (ForOtherAttempt)
    return;
  BodyBytes += Part.size();
  OtherBytes -= std::min(OtherBytes, Part.size());
  if (BodyWanted)
    Handler->handleAnswerBody(std::move(Part));
}

/** Says whether what has come beside the body is within what a sound back end
 * sends. */
bool BackEndCall::isWithinBounds() const {
  return OtherBytes <= MaxOtherBytes + BodyBytes * FramingPerBodyByte;
}

/** Ends the call after a response; pools the connection if it can be reused. */
void BackEndCall::finish(ResponseEnd How) {
  BackEndCallHandler *Receiver = std::exchange(Handler, nullptr);
  if (How == ResponseEnd::Marked)
    keepConnection();
  Receiver->handleAnswerEnd(How);
}

/** Pools the connection if it can be reused, else closes it. */
void BackEndCall::keepConnection() {
  // Not reused with extra bytes after the response, which belong to no request,
  // or with a partly written request, which the next one would be appended to.
  if (Write == WriteState::Done && OpenConnection->Buffer.size() == 0 &&
      OpenConnection->IdleLimit.count() > 0) {
    OpenConnection->IdleSince = RuntimeClock().now();
    Pool.keep(std::move(OpenConnection), Request.MaxIdle);
    return;
  }
  closeConnection();
}

/** Closes the connection in order. The rest of a request that is still being
 * written is not sent: its response needs no more of it (RFC 9112, 9.3). */
void BackEndCall::closeConnection() {
  Timer.cancel();
  Error Ignored; // The connection is dropped in any case.
  if (OpenConnection)
    OpenConnection->Socket.close(Ignored);
}

/** Ends the call although the body of its response is still to come. The body
 * is read without it, as far as keeping the connection is worth. */
void BackEndCall::endBeforeBody() {
  BackEndCallHandler *Receiver = std::exchange(Handler, nullptr);
  if (OpenConnection->IdleLimit.count() > 0) {
    BodyBytes = OtherBytes = 0;
    Timer.expires_after(RestTimeout);
    Timer.async_wait([Self = shared_from_this()](const Error &ec) {
      if (!ec)
        Self->closeConnection();
    });
    readRest();
  } else {
    closeConnection();
  }
  Receiver->handleAnswerEnd(ResponseEnd::Marked);
}

/** Reads the rest of an unwanted body. */
void BackEndCall::readRest() {
  OpenConnection->Socket.async_read_some(
      OpenConnection->Buffer.prepare(ReadBytes),
      [Self = shared_from_this()](const Error &ec, size_t n) {
        if (!Self->OpenConnection->Socket.is_open())
          return;
        Self->OpenConnection->Buffer.commit(n);
        if (ec)
          Self->closeConnection();
        else
          Self->parseRest();
      });
}

/** Drops bytes of an unwanted body, and pools the connection at its end. */
void BackEndCall::parseRest() {
  Error ec;
  const size_t n = ResponseParser->put(OpenConnection->Buffer.data(), ec);
  OpenConnection->Buffer.consume(n);
  ResponseParser->get().body().clear();
  OtherBytes += n;
  if (ResponseParser->is_done()) {
    Timer.cancel();
    keepConnection();
  } else if ((ec && ec != http::error::need_more) ||
             OtherBytes + OpenConnection->Buffer.size() > MaxRestBytes) {
    closeConnection();
  } else {
    readRest();
  }
}

/** Ends the call without a complete response. */
void BackEndCall::reportFailure(CallFailure Why, ConnectionEnd End) {
  BackEndCallHandler *Receiver = std::exchange(Handler, nullptr);
  if (Receiver == nullptr)
    return;
  cancel();
  Receiver->handleCallFailure(Why, End);
}

void BackEndCall::cancel() {
  Handler = nullptr;
  Timer.cancel();
  Error Ignored; // The connection is dropped in any case.
  if (!OpenConnection)
    return;
  // Reset instead of an orderly close. A back end on an unresponsive host reads
  // its sockets when the host resumes, and would run a request that is followed
  // by an orderly close as if the caller still waited. A reset tells it that
  // nobody does, and discards what was not sent yet.
  OpenConnection->Socket.set_option(boost::asio::socket_base::linger(true, 0),
                                    Ignored);
  OpenConnection->Socket.close(Ignored);
}

} // namespace jacinthpond
