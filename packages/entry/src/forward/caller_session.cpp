/** @file caller_session.cpp HTTP/1.1 server side of one caller's connection. */

#include "forward/caller_session.h"

#include "clock/runtime_clock.h"
#include "forward/caller_connections.h"
#include "forward/socket_options.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <sstream>
#include <utility>

namespace jacinthpond {

namespace http = boost::beast::http;
using Error = boost::system::error_code;

namespace {

/** Bytes of pipelined requests that are buffered while one is handled. */
constexpr size_t MaxPipelined = 64 << 10;
/** Unread bytes of answers above which the next pipelined request waits. */
constexpr size_t MaxUnreadBytes = 64 << 10;
/** Capacity in bytes that the write buffer of an idle connection may keep. */
constexpr size_t IdleCapacity = 8 << 10;
/** Bytes of a head that are counted as such: a read may hold body as well. */
constexpr size_t MaxCountedHead = 64 << 10;
constexpr int Http11 = 11;

/** Serializes a complete HTTP message. */
template <typename Message> std::string messageText(const Message &Whole) {
  std::ostringstream Text;
  Text << Whole;
  return Text.str();
}

/** Serializes only the head. Beast would otherwise also write the end of the
 * empty body. */
std::string headText(CallerAnswerHead &Head) {
  http::response_serializer<http::empty_body> Writer(Head);
  Writer.split(true);
  std::string Text;
  Error ec;
  while (!Writer.is_header_done() && !ec)
    Writer.next(ec, [&](Error &, const auto &Buffers) {
      Text += boost::beast::buffers_to_string(Buffers);
      Writer.consume(boost::beast::buffer_bytes(Buffers));
    });
  return Text;
}

/** Encodes bytes as one chunk of a chunked body. */
std::string encodeChunk(const std::string &Bytes) {
  std::array<char, 16> Size{};
  const auto End =
      std::to_chars(Size.data(), Size.data() + Size.size(), Bytes.size(), 16);
  std::string Chunk(Size.data(), End.ptr);
  Chunk += "\r\n";
  Chunk += Bytes;
  Chunk += "\r\n";
  return Chunk;
}

/** Reason for the refusal of a request that could not be parsed. */
CallerRefusal parseErrorReason(const Error &ec) {
  if (ec == http::error::header_limit)
    return CallerRefusal::HeadTooLarge;
  if (ec == http::error::body_limit)
    return CallerRefusal::TooLarge;
  return CallerRefusal::Malformed;
}

} // namespace

CallerSession::CallerSession(boost::asio::ip::tcp::socket Accepted,
                             const SessionCallbacks &Callbacks)
    : Socket(std::move(Accepted)), Callbacks(Callbacks),
      Timer(Socket.get_executor()) {}

void CallerSession::start() {
  setTrafficOptions(Socket);
  if (Callbacks.Connections != nullptr)
    Id = Callbacks.Connections->add(shared_from_this());
  if (Closed)
    return;
  resetParser();
  IdleSince = RuntimeClock().now();
  report();
  armTimer();
  readMore();
}

/** Prepares to parse the next request, with the limits in force now. */
void CallerSession::resetParser() {
  const CallerLimits Limits = Callbacks.Limits();
  RequestParser.emplace();
  RequestParser->eager(true);
  RequestParser->header_limit(Limits.MaxHeadBytes);
  RequestParser->body_limit(Limits.MaxBodyBytes);
  HeadBytes = RequestBytes = 0;
  HeadDone = HeadDecided = ContinueSent = false;
}

/** Limits the wait for a complete request: the head timeout applies once it has
 * begun, the idle timeout before that. */
void CallerSession::armTimer() {
  const CallerLimits Limits = Callbacks.Limits();
  const bool Begun = !Closing && !hasUnreadAnswers() &&
                     (Buffer.size() > 0 || RequestParser->is_header_done());
  if (Begun)
    Timer.expires_after(Limits.HeadTimeout);
  else
    Timer.expires_at(IdleSince + Limits.IdleTimeout);
  Timer.async_wait([Self = shared_from_this(), Begun](const Error &ec) {
    // A handler that was queued already can't be cancelled any more.
    if (!ec && !Self->Busy && !Self->Closed &&
        Self->Timer.expiry() <= RuntimeClock().now())
      Self->handleTimeout(Begun);
  });
}

/** Refuses a request that does not become complete, or closes an idle
 * connection by the timeout in force now. */
void CallerSession::handleTimeout(bool Begun) {
  if (Begun)
    refuse(CallerRefusal::Slow);
  else if (IdleSince + Callbacks.Limits().IdleTimeout > RuntimeClock().now())
    armTimer(); // It was raised, or an answer was still being written.
  else
    closeUnread();
}

/** Closes a connection on which nothing was read or sent for too long. */
void CallerSession::closeUnread() {
  if (backlog() > 0 && Callbacks.Connections != nullptr)
    Callbacks.Connections->countRefusal(CallerRefusal::Unread);
  close();
}

/** Says whether the next request has to wait until the caller has read more of
 * the answers to the ones before. */
bool CallerSession::hasUnreadAnswers() const {
  return backlog() > MaxUnreadBytes;
}

/** Reads the next bytes, unless too many pipelined ones are buffered. */
void CallerSession::readMore() {
  if (ReadPending || Closed || Buffer.size() >= MaxPipelined)
    return; // While input is discarded, the buffer is empty.
  ReadPending = true;
  Socket.async_read_some(
      boost::asio::buffer(Received),
      [Self = shared_from_this()](const Error &ec, size_t n) {
        Self->ReadPending = false;
        if (Self->Closed)
          return;
        if (ec) {
          Self->close();
          return;
        }
        if (Self->Discarding) {
          Self->handleDiscarded(n);
          return;
        }
        const bool First = Self->Buffer.size() == 0 && !Self->Busy &&
                           !Self->RequestParser->is_header_done();
        boost::asio::buffer_copy(Self->Buffer.prepare(n),
                                 boost::asio::buffer(Self->Received));
        Self->Buffer.commit(n);
        if (Self->Busy) {
          // A pipelined request. Reading goes on, since only a read shows that
          // the caller has disconnected.
          Self->report();
          Self->readMore();
          return;
        }
        if (First)
          Self->armTimer();
        Self->parse();
      });
}

/** Parses the buffered bytes and handles the request once it is complete. */
void CallerSession::parse() {
  while (!Busy && !Closing && Buffer.size() > 0 && !hasUnreadAnswers()) {
    Error ec;
    const size_t n = RequestParser->put(Buffer.data(), ec);
    Buffer.consume(n);
    if (!HeadDone)
      HeadBytes = std::min(HeadBytes + n, MaxCountedHead);
    HeadDone = RequestParser->is_header_done();
    if (ec && ec != http::error::need_more) {
      refuse(parseErrorReason(ec));
      return;
    }
    if (RequestParser->is_done()) {
      handleRequest();
      break;
    }
    if (HeadDone && !decideByHead())
      return;
    const auto &Head = RequestParser->get();
    if (HeadDone && !ContinueSent &&
        boost::beast::iequals(Head[http::field::expect], "100-continue")) {
      ContinueSent = true;
      send("HTTP/1.1 100 Continue\r\n\r\n");
    }
    if (ec == http::error::need_more)
      break;
  }
  report();
  if (!Closing)
    readMore();
}

/** Refuses a request that is not complete, and closes the session once the
 * caller has the answer. */
void CallerSession::refuse(CallerRefusal Why) {
  if (Callbacks.Connections != nullptr)
    Callbacks.Connections->countRefusal(Why);
  KeepAlive = HeadOnly = false;
  Busy = true;
  discardInput();
  answer(Callbacks.OnBadRequest(Why));
}

/** Notes how the answer to a request has to be sent. */
void CallerSession::takeRequest(CallerRequest &Request) {
  Busy = true;
  KeepAlive = Request.keep_alive();
  HeadOnly = Request.method() == http::verb::head;
  Chunked = Request.version() >= Http11;
}

/** Passes a complete request to the callback of the listener. */
void CallerSession::handleRequest() {
  Timer.cancel();
  RequestBytes = 2 * HeadBytes + RequestParser->get().body().allocated();
  CallerRequest Request = RequestParser->release();
  takeRequest(Request);
  report();
  Callbacks.OnRequest(shared_from_this(), std::move(Request));
}

/**
 * Asks the listener about a request of which only the head is complete.
 * @return False if it was answered without its body.
 */
bool CallerSession::decideByHead() {
  if (std::exchange(HeadDecided, true) || !Callbacks.OnHead)
    return true;
  const HeadDecision Decision = Callbacks.OnHead(RequestParser->get().base());
  if (Decision.Owner && Callbacks.Connections != nullptr)
    Callbacks.Connections->recordOwner(Id, *Decision.Owner);
  if (Decision.ReceiveBody)
    return true;
  CallerRequest Request = RequestParser->release();
  Request.body() = {};
  takeRequest(Request);
  KeepAlive = false; // The next request would follow the rest of this one.
  discardInput();
  Callbacks.OnRequest(shared_from_this(), std::move(Request));
  return false;
}

void CallerSession::setDisconnectHandler(
    std::shared_ptr<DisconnectHandler> NewHandler) {
  Handler = std::move(NewHandler);
}

void CallerSession::answer(CallerAnswer Answer) {
  Answer.version(Http11);
  const bool Keep = KeepAlive && !Callbacks.IsLeaving();
  Answer.keep_alive(Keep);
  const unsigned Status = Answer.result_int();
  const bool NoLength = Status == 204 || Status == 304;
  if (!HeadOnly && !NoLength)
    Answer.prepare_payload();
  std::string Body = std::move(Answer.body());
  Answer.body().clear();
  send(messageText(Answer));
  if (!HeadOnly && !NoLength)
    send(std::move(Body));
  finishRequest(Keep);
}

void CallerSession::beginBody(CallerAnswerHead Head) {
  Head.version(Http11);
  KeepAlive = KeepAlive && Chunked && !Callbacks.IsLeaving();
  Head.keep_alive(KeepAlive);
  if (Chunked)
    Head.chunked(true);
  send(headText(Head));
}

void CallerSession::sendBody(const std::string &Bytes) {
  if (!HeadOnly)
    send(Chunked ? encodeChunk(Bytes) : Bytes);
}

void CallerSession::endBody() {
  if (Chunked && !HeadOnly)
    send("0\r\n\r\n");
  finishRequest(KeepAlive);
}

/** Ends the current request; closes the session or prepares for the next
 * request. */
void CallerSession::finishRequest(bool Keep) {
  Handler.reset();
  Busy = false;
  if (!Keep) {
    Closing = true;
    RequestBytes = 0;
    if (!Discarding) {
      IdleSince = RuntimeClock().now();
      armTimer();
    }
    flush();
    report();
    return;
  }
  resetParser();
  IdleSince = RuntimeClock().now();
  armTimer();
  report();
  resumeParsing();
}

/** Handles a request that is buffered already; later, not inside the call that
 * ended the one before. */
void CallerSession::resumeParsing() {
  boost::asio::post(Socket.get_executor(), [Self = shared_from_this()] {
    if (!Self->Busy && !Self->Closed && !Self->Closing)
      Self->parse();
  });
}

/** Queues bytes for the caller. */
void CallerSession::send(std::string Bytes) {
  if (Outgoing.empty())
    Outgoing = std::move(Bytes);
  else
    Outgoing += Bytes;
  flush();
}

/** Writes queued bytes, one write at a time. */
void CallerSession::flush() {
  if (Closed || !Writing.empty())
    return;
  if (Outgoing.empty()) {
    if (Closing && Discarding)
      endSending();
    else if (Closing)
      close();
    return;
  }
  Writing.swap(Outgoing);
  writeMore();
}

/** Writes the rest of Writing, as much at a time as the kernel takes. */
void CallerSession::writeMore() {
  Socket.async_write_some(
      boost::asio::buffer(Writing) + Written,
      [Self = shared_from_this()](const Error &ec, size_t n) {
        if (ec)
          Self->close();
        else
          Self->handleWritten(n);
      });
}

/** Counts bytes that the kernel has taken, and goes on with the next ones. */
void CallerSession::handleWritten(size_t n) {
  const bool Waited = hasUnreadAnswers();
  IdleSince = RuntimeClock().now();
  Written += n;
  if (Waited && !hasUnreadAnswers() && !Busy && Buffer.size() > 0) {
    armTimer();
    resumeParsing();
  }
  if (Written < Writing.size()) {
    writeMore();
    return;
  }
  Written = 0;
  Writing.clear();
  if (Writing.capacity() > IdleCapacity)
    Writing.shrink_to_fit();
  flush();
  report();
}

/** Ends the response in order, while input is still discarded. */
void CallerSession::endSending() {
  Error Ignored; // The timer closes the connection in any case.
  Socket.shutdown(boost::asio::socket_base::shutdown_send, Ignored);
}

void CallerSession::abort() { close(); }

/** Closes the connection and notifies the handler of the current request. */
void CallerSession::close() {
  if (Closed)
    return;
  Closed = true;
  if (Callbacks.Connections != nullptr)
    Callbacks.Connections->remove(Id);
  Timer.cancel();
  Error Ignored; // The connection is dropped in any case.
  if (Closing)   // All data is written: an orderly end follows it.
    Socket.shutdown(boost::asio::socket_base::shutdown_send, Ignored);
  Socket.close(Ignored);
  if (const auto Receiver = std::exchange(Handler, nullptr))
    Receiver->handleCallerDisconnect();
}

} // namespace jacinthpond
