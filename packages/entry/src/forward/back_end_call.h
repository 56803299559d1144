/** @file back_end_call.h One request on one connection to a back end. */

#ifndef JACINTHPOND_ENTRY_FORWARD_BACK_END_CALL_H
#define JACINTHPOND_ENTRY_FORWARD_BACK_END_CALL_H

#include "base/ids_type.h"
#include "base/time_type.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace jacinthpond {

/** A connection to a back end. */
struct BackEndConnection {
  boost::asio::ip::tcp::socket Socket; ///< The socket.
  boost::beast::flat_buffer Buffer;    ///< Received, not read yet.
  Address At;                          ///< Where it leads.
  TimePoint IdleSince;                 ///< When its last answer ended.
  Millis KeepFor{0};                   ///< Idle time after which it is old.
};

/** Kept connections; used by the traffic thread only. */
class BackEndConnections {
public:
  /**
   * Takes a kept connection that still seems to work.
   * @param At Where it leads.
   * @param Now Current time.
   * @return The connection, or null.
   */
  std::unique_ptr<BackEndConnection> take(const Address &At, TimePoint Now);

  /**
   * Keeps a connection after a whole answer.
   * @param Idle The connection.
   * @param Most Connections kept to the same back end.
   */
  void keep(std::unique_ptr<BackEndConnection> Idle, size_t Most);

  /**
   * Closes connections that have been idle for too long.
   * @param Now Current time.
   */
  void sweep(TimePoint Now);

private:
  std::map<Address, std::vector<std::unique_ptr<BackEndConnection>>> Kept;
};

/** What to send where. */
struct CallPlan {
  Address To;                 ///< The back end.
  std::string Bytes;          ///< The whole request.
  std::string IdHeader;       ///< Header in which answers repeat the id.
  std::string AttemptId;      ///< Answers with another id belong to others.
  bool NewConnection = false; ///< Not on a kept connection.
  bool NoBody = false;        ///< The answer has no body, as with HEAD.
  size_t MostKept = 0;        ///< Idle connections to keep to that back end.
};

/** Why a call has no whole answer. */
enum class CallFailure : uint8_t {
  Unreached, ///< No connection came about: nothing was sent.
  Stale,     ///< A kept connection was closed before any answer.
  Broken     ///< It broke off, or what came cannot be read.
};

/** Head of an answer. */
using ResponseHead =
    boost::beast::http::response_header<boost::beast::http::fields>;

/** Takes what comes of a call, on the traffic thread. */
class CallEvents {
public:
  virtual ~CallEvents() = default;

  /**
   * The head of the answer came.
   * @param Head Status and headers.
   */
  virtual void callHead(const ResponseHead &Head) = 0;

  /**
   * A part of the body came.
   * @param Bytes The part.
   */
  virtual void callBody(std::string Bytes) = 0;

  /** The answer is whole. */
  virtual void callEnded() = 0;

  /**
   * There will be no whole answer.
   * @param Why What happened.
   */
  virtual void callFailed(CallFailure Why) = 0;
};

/** One request and its answer. After cancel() no event follows. */
class BackEndCall : public std::enable_shared_from_this<BackEndCall> {
public:
  /**
   * Sets up; start() begins.
   * @param Io Runs on the traffic thread.
   * @param Kept Connections to take from and give back to.
   * @param Plan What to send where.
   * @param Events Takes what comes; must live until the last event.
   */
  BackEndCall(boost::asio::io_context &Io, BackEndConnections &Kept,
              CallPlan Plan, CallEvents &Events);

  /**
   * Sends the request.
   * @param ConnectLimit Longest wait for a new connection.
   */
  void start(Millis ConnectLimit);

  /** Closes the connection; most back ends then stop working on it. */
  void cancel();

  /**
   * Says whether anything was given to a connection to be sent.
   * @return False while the connection is being opened.
   */
  bool sent() const { return Sent; }

private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  void connect(Millis Limit);
  void exchange();
  void newParser();
  void read();
  void parse();
  bool headCame();
  void bodyCame();
  void ended();
  void failed(CallFailure Why);
  void closed();

  boost::asio::io_context &Io;
  BackEndConnections &Kept;
  CallPlan Plan;
  CallEvents *Events; ///< Null once the call is over.
  std::unique_ptr<BackEndConnection> Link;
  std::optional<Parser> Reading;
  boost::asio::steady_timer ConnectTimer;
  bool Reused = false;   ///< On a kept connection.
  bool Sent = false;     ///< Sending has begun.
  bool Written = false;  ///< All of the request is with the kernel.
  bool HeadDone = false; ///< The head was handed on.
  bool Foreign = false;  ///< The answer under way belongs to another request.
  bool Heard = false;    ///< Any byte came.
};

} // namespace jacinthpond

#endif
