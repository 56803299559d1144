/** @file caller_session.cpp One caller's connection. */

#include "forward/caller_session.h"

#include "forward/socket_options.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include <array>
#include <charconv>
#include <sstream>
#include <utility>

namespace jacinthpond {

namespace http = boost::beast::http;
using Error = boost::system::error_code;

namespace {

constexpr size_t ReadBytes = 4096;
/** Bytes of later requests that wait while one is being answered. */
constexpr size_t MaxPipelined = 64 << 10;
/** Kept capacity of buffers of a connection that is idle, in bytes. */
constexpr size_t IdleCapacity = 8 << 10;
constexpr int Http11 = 11;

template <typename Message> std::string textOf(const Message &Whole) {
  std::ostringstream Text;
  Text << Whole;
  return Text.str();
}

/** Writes a head alone: the library would end an empty body behind it. */
std::string headTextOf(CallerAnswerHead &Head) {
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

std::string chunkOf(const std::string &Bytes) {
  std::array<char, 16> Size{};
  const auto End =
      std::to_chars(Size.data(), Size.data() + Size.size(), Bytes.size(), 16);
  std::string Chunk(Size.data(), End.ptr);
  Chunk += "\r\n";
  Chunk += Bytes;
  Chunk += "\r\n";
  return Chunk;
}

unsigned statusOf(const Error &ec) {
  if (ec == http::error::header_limit)
    return 431;
  if (ec == http::error::body_limit)
    return 413;
  return 400;
}

} // namespace

CallerSession::CallerSession(boost::asio::ip::tcp::socket Accepted,
                             const SessionRules &Rules)
    : Socket(std::move(Accepted)), Rules(Rules), Timer(Socket.get_executor()) {}

void CallerSession::start() {
  setTrafficOptions(Socket);
  newParser();
  armTimer();
  read();
}

void CallerSession::newParser() {
  const CallerLimits Limits = Rules.Limits();
  Reading.emplace();
  Reading->eager(true);
  Reading->header_limit(Limits.MaxHeadBytes);
  Reading->body_limit(Limits.MaxBodyBytes);
  ToldToGoOn = false;
}

/** Waits for a whole request: briefly once it has begun, long before that. */
void CallerSession::armTimer() {
  const CallerLimits Limits = Rules.Limits();
  const bool Begun = Buffer.size() > 0 || Reading->is_header_done();
  Timer.expires_after(Begun ? Limits.HeadTimeout : Limits.IdleTimeout);
  Timer.async_wait([Self = shared_from_this(), Begun](const Error &ec) {
    if (ec || Self->Busy || Self->Closed)
      return;
    if (Begun)
      Self->refuse(408);
    else
      Self->close();
  });
}

void CallerSession::read() {
  if (ReadOpen || Closed || Buffer.size() >= MaxPipelined)
    return;
  ReadOpen = true;
  Socket.async_read_some(
      Buffer.prepare(ReadBytes),
      [Self = shared_from_this()](const Error &ec, size_t n) {
        Self->ReadOpen = false;
        if (Self->Closed)
          return;
        if (ec) {
          Self->close();
          return;
        }
        const bool First = Self->Buffer.size() == 0 && !Self->Busy &&
                           !Self->Reading->is_header_done();
        Self->Buffer.commit(n);
        if (Self->Busy) {
          // A later request of the same caller; the read goes on, since it
          // is what shows that the caller has gone.
          Self->read();
          return;
        }
        if (First)
          Self->armTimer();
        Self->parse();
      });
}

void CallerSession::parse() {
  while (!Busy && !Closing && Buffer.size() > 0) {
    Error ec;
    const size_t n = Reading->put(Buffer.data(), ec);
    Buffer.consume(n);
    if (ec && ec != http::error::need_more) {
      refuse(statusOf(ec));
      return;
    }
    if (Reading->is_done()) {
      requestCame();
      break;
    }
    const auto &Head = Reading->get();
    if (Reading->is_header_done() && !ToldToGoOn &&
        boost::beast::iequals(Head[http::field::expect], "100-continue")) {
      ToldToGoOn = true;
      send("HTTP/1.1 100 Continue\r\n\r\n");
    }
    if (ec == http::error::need_more)
      break;
  }
  if (!Closing)
    read();
}

void CallerSession::refuse(unsigned Status) {
  KeepAlive = false;
  Busy = true;
  answer(Rules.OnBadRequest(Status));
}

void CallerSession::requestCame() {
  Busy = true;
  Timer.cancel();
  CallerRequest Asked = Reading->release();
  KeepAlive = Asked.keep_alive();
  HeadOnly = Asked.method() == http::verb::head;
  Chunked = Asked.version() >= Http11;
  Rules.OnRequest(shared_from_this(), std::move(Asked));
}

void CallerSession::workedOnBy(std::shared_ptr<SessionWork> By) {
  Work = std::move(By);
}

void CallerSession::answer(CallerAnswer Answer) {
  Answer.version(Http11);
  const bool Keep = KeepAlive && !Rules.Leaving();
  Answer.keep_alive(Keep);
  const unsigned Status = Answer.result_int();
  const bool NoLength = Status == 204 || Status == 304;
  if (!HeadOnly && !NoLength)
    Answer.prepare_payload();
  if (HeadOnly || NoLength)
    Answer.body().clear();
  send(textOf(Answer));
  goOn(Keep);
}

void CallerSession::beginBody(CallerAnswerHead Head) {
  Head.version(Http11);
  KeepAlive = KeepAlive && Chunked && !Rules.Leaving();
  Head.keep_alive(KeepAlive);
  if (Chunked)
    Head.chunked(true);
  send(headTextOf(Head));
}

void CallerSession::sendBody(const std::string &Bytes) {
  if (!HeadOnly)
    send(Chunked ? chunkOf(Bytes) : Bytes);
}

void CallerSession::endBody() {
  if (Chunked && !HeadOnly)
    send("0\r\n\r\n");
  goOn(KeepAlive);
}

void CallerSession::goOn(bool Keep) {
  Work.reset();
  Busy = false;
  if (!Keep) {
    Closing = true;
    flush();
    return;
  }
  newParser();
  armTimer();
  // The next request may have come already; from here it would be answered
  // inside the call that ended this one.
  boost::asio::post(Socket.get_executor(), [Self = shared_from_this()] {
    if (!Self->Busy && !Self->Closed)
      Self->parse();
  });
}

void CallerSession::send(const std::string &Bytes) {
  Outgoing += Bytes;
  flush();
}

void CallerSession::flush() {
  if (Closed || !Writing.empty())
    return;
  if (Outgoing.empty()) {
    if (Closing)
      close();
    return;
  }
  Writing.swap(Outgoing);
  boost::asio::async_write(
      Socket, boost::asio::buffer(Writing),
      [Self = shared_from_this()](const Error &ec, size_t) {
        Self->Writing.clear();
        if (Self->Writing.capacity() > IdleCapacity)
          Self->Writing.shrink_to_fit();
        if (ec)
          Self->close();
        else
          Self->flush();
      });
}

void CallerSession::abort() { close(); }

void CallerSession::close() {
  if (Closed)
    return;
  Closed = true;
  Timer.cancel();
  Error Ignored; // The connection ends, whatever state it is in.
  if (Closing)   // All was written: the caller reads it before the end.
    Socket.shutdown(boost::asio::socket_base::shutdown_send, Ignored);
  Socket.close(Ignored);
  if (const auto Told = std::exchange(Work, nullptr))
    Told->callerGone();
}

} // namespace jacinthpond
