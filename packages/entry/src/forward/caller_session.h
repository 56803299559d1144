/** @file caller_session.h HTTP/1.1 server side of one caller's connection. */

#ifndef JACINTHPOND_ENTRY_FORWARD_CALLER_SESSION_H
#define JACINTHPOND_ENTRY_FORWARD_CALLER_SESSION_H

#include "admission/connection_table_type.h"
#include "admission/refusal_episode_type.h"
#include "base/time_type.h"
#include "configuration/document_type.h"
#include "forward/request_body.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace jacinthpond {

/** A complete request of a caller. */
using CallerRequest = boost::beast::http::request<BlockBody>;

/** A complete response to a caller. */
using CallerAnswer =
    boost::beast::http::response<boost::beast::http::string_body>;

/** Head of a response whose body is streamed. */
using CallerAnswerHead =
    boost::beast::http::response<boost::beast::http::empty_body>;

class CallerConnections;
class CallerSession;

/** Is notified when the caller of the current request disconnects. */
class DisconnectHandler {
public:
  virtual ~DisconnectHandler() = default;
  /** Handles a connection that was closed or broke before the response ended.
   */
  virtual void handleCallerDisconnect() = 0;
};

/** What is decided when the head of a request is complete and its body is not.
 */
struct HeadDecision {
  bool ReceiveBody = true; ///< False: answered without the body.
  std::optional<WorkspaceName>
      Owner; ///< Whose request it is; empty name: no key is needed.
};

/** What a listener does with the requests of its sessions. */
struct SessionCallbacks {
  /** Decides whether the body of a request is received; null: it always is. A
   * request without it goes to OnRequest at once, to be answered there. */
  std::function<HeadDecision(const CallerRequest::header_type &)> OnHead;
  /** Answers a request, now or later. Whatever works on it is kept alive by the
   * session; see setDisconnectHandler(). */
  std::function<void(const std::shared_ptr<CallerSession> &, CallerRequest)>
      OnRequest;
  /** Returns the response to a request that is refused before it is complete;
   * the session closes after it. */
  std::function<CallerAnswer(CallerRefusal Why)> OnBadRequest;
  /** Returns the limits in force. */
  std::function<CallerLimits()> Limits;
  /** Says whether the process is leaving: responses then close the connection.
   */
  std::function<bool()> IsLeaving;
  /** Bounds all connections together; must outlive the sessions. Null: there
   * are no bounds. */
  CallerConnections *Connections = nullptr;
};

/** One caller's connection; used by the traffic thread only. */
class CallerSession : public std::enable_shared_from_this<CallerSession> {
public:
  /**
   * Takes over an accepted connection; start() reads from it.
   * @param Accepted The socket.
   * @param Callbacks What to do with requests; must outlive the session.
   */
  CallerSession(boost::asio::ip::tcp::socket Accepted,
                const SessionCallbacks &Callbacks);

  /** Starts to read requests. */
  void start();

  /**
   * Sets who is notified if the caller disconnects during the current request.
   * The session keeps it alive until the request ends.
   * @param Handler The handler; null: none.
   */
  void setDisconnectHandler(std::shared_ptr<DisconnectHandler> Handler);

  /**
   * Sends a complete response and goes on with the next request.
   * @param Answer The response; its framing headers are set here.
   */
  void answer(CallerAnswer Answer);

  /**
   * Sends the head of a response whose body is streamed.
   * @param Head The head; its framing headers are set here.
   */
  void beginBody(CallerAnswerHead Head);

  /**
   * Sends a part of a streamed body.
   * @param Bytes The part.
   */
  void sendBody(const std::string &Bytes);

  /** Ends a streamed body and goes on with the next request. */
  void endBody();

  /** Closes the connection at once; the caller sees a truncated response. */
  void abort();

  /** Frees what the connection holds: refuses a request that is not complete,
   * or closes the connection. */
  void giveWay();

  /** Closes the connection, since others need its descriptor; a request that is
   * not complete is refused as far as that is possible at once. */
  void closeForOthers();

  /**
   * Size of the data that waits to be sent to the caller.
   * @return Bytes.
   */
  size_t backlog() const { return Outgoing.size() + Writing.size() - Written; }

private:
  using Parser = boost::beast::http::request_parser<BlockBody>;

  void resetParser();
  void readMore();
  void parse();
  void refuse(CallerRefusal Why);
  void discardInput();
  void handleDiscarded(size_t n);
  void closeAfter(Duration Time);
  ConnectionPhase phase() const;
  size_t heldBytes() const;
  void report();
  void takeRequest(CallerRequest &Request);
  void handleRequest();
  bool decideByHead();
  void finishRequest(bool KeepAlive);
  void resumeParsing();
  void send(std::string Bytes);
  void flush();
  void writeMore();
  void armTimer();
  void handleTimeout(bool Begun);
  void closeUnread();
  bool hasUnreadAnswers() const;
  void handleWritten(size_t n);
  void endSending();
  void close();

  boost::asio::ip::tcp::socket Socket;
  const SessionCallbacks &Callbacks;
  /** Target of the pending read; Buffer may be consumed meanwhile. */
  std::array<char, 4096> Received{};
  boost::beast::flat_buffer Buffer;
  std::optional<Parser> RequestParser;
  ConnectionId Id;         ///< Valid while the session is registered.
  size_t HeadBytes = 0;    ///< Size of the head of the current request.
  size_t RequestBytes = 0; ///< Memory of the request that is being handled.
  size_t Discarded = 0;    ///< Bytes read since the request was refused.
  boost::asio::steady_timer Timer;
  TimePoint IdleSince; ///< Last byte written, or end of the last request.
  std::shared_ptr<DisconnectHandler> Handler;
  std::string Outgoing;     ///< Data that waits behind Writing.
  std::string Writing;      ///< Data that is being written.
  size_t Written = 0;       ///< Bytes of Writing that the kernel has.
  bool Busy = false;        ///< A request is being handled.
  bool ReadPending = false; ///< An asynchronous read is pending.
  bool Closing = false;     ///< Closes once all data is written.
  bool Discarding = false;  ///< The request was refused before it was complete.
  bool Closed = false;
  bool KeepAlive = true;     ///< The connection stays open after this request.
  bool HeadDone = false;     ///< The head of the request is complete.
  bool HeadDecided = false;  ///< OnHead was asked about it.
  bool ContinueSent = false; ///< "100 Continue" was sent.
  bool HeadOnly = false;     ///< The method of the current request is HEAD.
  bool Chunked = true;       ///< The caller supports chunked encoding.
};

} // namespace jacinthpond

#endif
