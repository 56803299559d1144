/** @file caller_session.h One caller's connection. */

#ifndef JACINTHPOND_ENTRY_FORWARD_CALLER_SESSION_H
#define JACINTHPOND_ENTRY_FORWARD_CALLER_SESSION_H

#include "base/time_type.h"
#include "configuration/document_type.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace jacinthpond {

/** A whole request of a caller. */
using CallerRequest =
    boost::beast::http::request<boost::beast::http::string_body>;

/** A whole answer to a caller. */
using CallerAnswer =
    boost::beast::http::response<boost::beast::http::string_body>;

/** Head of an answer whose body follows in chunks. */
using CallerAnswerHead =
    boost::beast::http::response<boost::beast::http::empty_body>;

class CallerSession;

/** What works on the request of a session. */
class SessionWork {
public:
  virtual ~SessionWork() = default;
  /** The caller closed the connection, or it broke. */
  virtual void callerGone() = 0;
};

/** What a listener does with the requests of its sessions. */
struct SessionRules {
  /** Answers a request, now or later; keeps itself alive through the session.
   */
  std::function<void(const std::shared_ptr<CallerSession> &, CallerRequest)>
      OnRequest;
  /** Answers a request that cannot be read; the connection closes after it. */
  std::function<CallerAnswer(unsigned Status)> OnBadRequest;
  /** Gives the limits in force. */
  std::function<CallerLimits()> Limits;
  /** Says whether the process is leaving: answers then ask to close. */
  std::function<bool()> Leaving;
};

/** One connection; used by the traffic thread only. */
class CallerSession : public std::enable_shared_from_this<CallerSession> {
public:
  /**
   * Takes over a connection.
   * @param Accepted The socket.
   * @param Rules What to do with requests; outlives the session.
   */
  CallerSession(boost::asio::ip::tcp::socket Accepted,
                const SessionRules &Rules);

  /** Begins to read. */
  void start();

  /**
   * Names what works on the request under way.
   * @param Work Told when the caller goes; null: nobody any more.
   */
  void workedOnBy(std::shared_ptr<SessionWork> Work);

  /**
   * Sends a whole answer and goes on with the next request.
   * @param Answer The answer; its framing is set here.
   */
  void answer(CallerAnswer Answer);

  /**
   * Begins an answer whose body follows.
   * @param Head Its head; its framing is set here.
   */
  void beginBody(CallerAnswerHead Head);

  /**
   * Sends a part of the body.
   * @param Bytes The part.
   */
  void sendBody(const std::string &Bytes);

  /** Ends the body and goes on with the next request. */
  void endBody();

  /** Closes the connection at once: an answer under way stays visibly cut. */
  void abort();

  /**
   * Gives the bytes that wait for the caller.
   * @return How many.
   */
  size_t backlog() const { return Outgoing.size() + Writing.size(); }

private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  void newParser();
  void read();
  void parse();
  void refuse(unsigned Status);
  void requestCame();
  void goOn(bool KeepAlive);
  void send(const std::string &Bytes);
  void flush();
  void armTimer();
  void close();

  boost::asio::ip::tcp::socket Socket;
  const SessionRules &Rules;
  boost::beast::flat_buffer Buffer;
  std::optional<Parser> Reading;
  boost::asio::steady_timer Timer;
  std::shared_ptr<SessionWork> Work;
  std::string Outgoing;  ///< To be written next.
  std::string Writing;   ///< With the kernel.
  bool Busy = false;     ///< A request is being answered.
  bool ReadOpen = false; ///< A read is under way.
  bool Closing = false;  ///< Closes once all is written.
  bool Closed = false;
  bool KeepAlive = true;   ///< The request under way allows another one.
  bool ToldToGoOn = false; ///< "100 Continue" was sent.
  bool HeadOnly = false;   ///< The request under way is a HEAD.
  bool Chunked = true;     ///< The caller reads chunks.
};

} // namespace jacinthpond

#endif
