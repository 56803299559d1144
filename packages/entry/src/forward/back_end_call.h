/** @file back_end_call.h One HTTP request to a back end and its response. */

#ifndef JACINTHPOND_ENTRY_FORWARD_BACK_END_CALL_H
#define JACINTHPOND_ENTRY_FORWARD_BACK_END_CALL_H

#include "base/ids_type.h"
#include "base/time_type.h"
#include "forward/append_reader.h"
#include "forward/back_end_connections.h"
#include "forward/request_body.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>

#include <memory>
#include <optional>
#include <string>

namespace jacinthpond {

/** A serialized request and where to send it. */
struct BackEndRequest {
  Address To;        ///< Address of the back end.
  std::string Bytes; ///< The serialized request, or its head.
  std::shared_ptr<const BodyBlocks> Body; ///< Follows Bytes; may be null.
  std::string AttemptIdHeader;     ///< Header that echoes the attempt's id.
  std::string AttemptId;           ///< Responses with another id are skipped.
  bool ForceNewConnection = false; ///< Don't use a pooled connection.
  bool NoResponseBody = false;     ///< The response has no body (HEAD).
  size_t MaxIdle = 0;              ///< Idle connections to keep to that server.
};

/** Why a call has no complete response. */
enum class CallFailure : uint8_t {
  Unreached, ///< No connection could be opened: nothing was sent.
  Stale,     ///< A pooled connection was closed before any response.
  Withheld,  ///< The handler did not allow it to be sent.
  Broken     ///< The connection broke, or the response is malformed.
};

/** How the connection of a failed call ended. */
enum class ConnectionEnd : uint8_t {
  Open,      ///< It was not ended by the other side.
  Refused,   ///< The address refused it: the host runs, nobody listens.
  TimedOut,  ///< The address did not answer.
  Failed,    ///< It could not be opened for another reason.
  Reset,     ///< The back end, or its system, reset it.
  Closed,    ///< The back end closed it in order.
  Malformed, ///< The back end sent bytes that are no response.
  Count      ///< Number of values; not a value.
};

/** How the end of a response that came without a failure is known. */
enum class ResponseEnd : uint8_t {
  Marked, ///< By its length, or by its last chunk.
  Closed  ///< Only by the close of the connection, as after a crash.
};

/** How far the request of a call has been written. */
enum class WriteState : uint8_t {
  Open,  ///< The write is pending, or was not started.
  Done,  ///< The kernel has the complete request.
  Failed ///< The connection broke before that.
};

/** Status and headers of a response. */
using ResponseHead =
    boost::beast::http::response_header<boost::beast::http::fields>;

/** A body that is taken over part by part. */
struct PartBody {
  using value_type = std::string; ///< What has come and was not taken over.

  /** Receives the parsed parts; the parser calls it. */
  using reader = AppendReader<value_type>; // NOLINT: the library's name.
};

/** Receives the response of a call, on the traffic thread. */
class BackEndCallHandler {
public:
  virtual ~BackEndCallHandler() = default;

  /**
   * Says whether the request may still be sent; called when the connection is
   * open, right before the first byte is written.
   * @return False to end the call as Withheld.
   */
  virtual bool maySendRequest() = 0;

  /**
   * Handles the headers of any response that arrives, also of a late one to an
   * earlier request on the same connection.
   * @param Head Status and headers.
   */
  virtual void handleNotices(const ResponseHead &Head) = 0;

  /**
   * Handles the head of the response. May call BackEndCall::skipBody().
   * @param Head Status and headers.
   */
  virtual void handleAnswerHead(const ResponseHead &Head) = 0;

  /**
   * Handles a part of the response body.
   * @param Bytes The part.
   */
  virtual void handleAnswerBody(std::string Bytes) = 0;

  /**
   * Handles the end of a response.
   * @param How How the end is known.
   */
  virtual void handleAnswerEnd(ResponseEnd How) = 0;

  /**
   * Handles a failure: no complete response will follow.
   * @param Why What happened.
   * @param End How the connection ended.
   */
  virtual void handleCallFailure(CallFailure Why, ConnectionEnd End) = 0;
};

/** One request and its response. After cancel() the handler isn't called. */
class BackEndCall : public std::enable_shared_from_this<BackEndCall> {
public:
  /**
   * Creates a call; start() sends it.
   * @param Io Event loop of the traffic thread.
   * @param Pool Idle connections to take from and return to.
   * @param Request What to send, and where.
   * @param Handler Receives the response; must live until its last call.
   */
  BackEndCall(boost::asio::io_context &Io, BackEndConnectionPool &Pool,
              BackEndRequest Request, BackEndCallHandler &Handler);

  /**
   * Sends the request.
   * @param ConnectLimit Timeout for opening a new connection.
   */
  void start(Millis ConnectLimit);

  /** Declares the body of the response unwanted, from handleAnswerHead(). The
   * call ends without waiting for it, as after a complete response. */
  void skipBody() { BodyWanted = false; }

  /** Resets the connection; most back ends then stop the request. */
  void cancel();

  /**
   * Closes the connection of a response that ended with it.
   * @return False if the connection was reset meanwhile: the response may be
   *         incomplete.
   */
  bool closeEnded();

  /**
   * Says whether sending has begun.
   * @return False while the connection is being opened.
   */
  bool hasSent() const { return Sent; }

private:
  using Parser = boost::beast::http::response_parser<PartBody>;

  void connect(Millis Limit);
  void writeRequest();
  void handleWritten(const boost::system::error_code &ec);
  void resetParser();
  void readMore();
  void handleRead(const boost::system::error_code &ec, size_t n);
  void handleEndOfInput();
  void endClosedResponse();
  template <typename StepType> void runStep(const StepType &Step);
  void parse();
  bool parseNext();
  bool processHead();
  void takeBody();
  bool isWithinBounds() const;
  void finish(ResponseEnd How);
  void endBeforeBody();
  void readRest();
  void parseRest();
  void keepConnection();
  void closeConnection();
  void reportFailure(CallFailure Why, ConnectionEnd End);
  void handleClose(ConnectionEnd End);

  boost::asio::io_context &Io;
  BackEndConnectionPool &Pool;
  BackEndRequest Request;
  BackEndCallHandler *Handler; ///< Null once the call is over.
  /** Null once it was returned to the pool. It is closed without being freed
   * while reads and writes may be pending, which refer to it. */
  std::unique_ptr<BackEndConnection> OpenConnection;
  std::optional<Parser> ResponseParser;
  /** For connecting, the rest of a body, and the rest of a request. */
  boost::asio::steady_timer Timer;
  bool Reused = false;        ///< The connection came from the pool.
  bool Sent = false;          ///< Sending has begun.
  bool AwaitingWrite = false; ///< Only the write has to end.
  WriteState Write = WriteState::Open;
  bool HeadDone = false;        ///< The head of the response was parsed.
  bool ForOtherAttempt = false; ///< The response belongs to another request.
  bool ReceivedAny = false;     ///< At least one byte was received.
  bool BodyWanted = true;       ///< The handler wants the body.
  size_t BodyBytes = 0;         ///< Bytes of the body that were delivered.
  size_t OtherBytes = 0;        ///< Bytes parsed that are no part of the body.
};

} // namespace jacinthpond

#endif
