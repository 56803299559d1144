/** @file request_receiver.h Receives HTTP requests on one thread.
 *
 * The HTTP library gives a thread to each connection. Callers that send slowly,
 * or nothing, would occupy all threads, and no other caller would get an
 * answer. Therefore one thread receives the bytes of all connections, and a
 * request gets a thread of its own only when it is complete.
 */

#ifndef JACINTHPOND_ADAPTERS_HTTP_REQUEST_RECEIVER_H
#define JACINTHPOND_ADAPTERS_HTTP_REQUEST_RECEIVER_H

#include "admission/connection_table_type.h"
#include "admission/refusal_episode_type.h"
#include "base/time_type.h"
#include "http/request_framing.h"

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace jacinthpond {

/** Limits of a receiver. */
struct ReceiverLimits {
  std::string Name;             ///< Of the listener, for the log.
  FramingLimits Request;        ///< Size limits of one request.
  size_t MaxConnections = 2048; ///< Connections, served ones included.
  size_t MaxBytes = 64 << 20;   ///< Memory of all requests together.
  size_t Copies = 1;            ///< Copies of a request while it is served.
  Millis ReadTimeout{5000};     ///< Longest time until a request is complete.
  Millis IdleTimeout{2000};     ///< Longest time between two requests.
};

/** A connection on which a request is expected or arriving. */
struct ReceivingConnection {
  ConnectionId Id;      ///< Its row in the table.
  std::string Buffer;   ///< Bytes of the request so far.
  TimePoint Deadline;   ///< When it is refused or, if idle, closed.
  size_t Needed = 0;    ///< Length of the request; 0: unknown so far.
  uint32_t Served = 0;  ///< Requests served before on this connection.
  bool Closing = false; ///< Refused; further input is discarded.
};

/** A complete request with its connection. */
struct ReceivedRequest {
  ConnectionId Id;     ///< For RequestReceiver::giveBack() or release().
  int Socket = -1;     ///< The connection; owned by the recipient.
  std::string Request; ///< Head and body.
  std::string Rest;    ///< Bytes received of the next request.
  uint32_t Served = 0; ///< Requests served before on this connection.
};

/** Owns connections until they deliver a complete request. */
class RequestReceiver {
public:
  /**
   * Starts the thread.
   * @param Bounds Limits.
   * @param Handler Called with each complete request, on the receiver's thread
   * or in add().
   */
  RequestReceiver(const ReceiverLimits &Bounds,
                  std::function<void(ReceivedRequest)> Handler);
  /** Ends the thread and closes all connections. */
  ~RequestReceiver();
  RequestReceiver(const RequestReceiver &) = delete;
  RequestReceiver &operator=(const RequestReceiver &) = delete;

  /**
   * Adds an accepted connection; thread-safe.
   * @param Socket The connection; owned by the receiver from now on.
   */
  void add(int Socket);

  /**
   * Takes a connection back after its request was answered; thread-safe. A next
   * request that is complete already is passed on at once.
   * @param Answered The request.
   */
  void giveBack(ReceivedRequest Answered);

  /**
   * Frees what a request was counted for; its recipient closes the connection.
   * Thread-safe.
   * @param Answered The request.
   */
  void release(const ReceivedRequest &Answered);

  /** Ends the thread and closes all connections; giveBack() closes later ones.
   */
  void stop();

private:
  /** Receives from all connections until stop(); runs on the thread. */
  void receiveRequests();
  /** Receives from one connection; adds its request when it is complete. */
  void readFrom(int Socket, std::vector<ReceivedRequest> &Complete);
  /** Checks the bytes received; moves a complete request to the list and
   * returns true, and refuses an invalid one. */
  bool extractRequest(int Socket, ReceivingConnection &Connection,
                      std::vector<ReceivedRequest> &Complete);
  /** Closes a connection whose caller has stopped sending, and refuses a
   * request that was cut off. */
  void handleEndOfInput(int Socket, ReceivingConnection &Connection);
  /** Sends an error answer and prepares the connection for closing. */
  void refuseRequest(int Socket, ReceivingConnection &Connection,
                     const Failure &Why);
  /** Closes idle connections, and refuses requests, that are past their
   * deadline. */
  void expireConnections();
  /** Registers a connection and waits for its next request. */
  ReceivingConnection &watch(int Socket, ConnectionId Id);
  /** Closes connections when there are too many. */
  void closeExcessConnections();
  /** Counts what a connection holds; refuses requests when all hold too much.
   */
  void count(int Socket);
  /** Counts a refusal, and logs the first one of a series. */
  void countRefusal(CallerRefusal Why);
  /** Logs the series of refusals that have ended. */
  void logEndedSeries();
  /** Removes and closes a connection. */
  void removeConnection(int Socket);
  /** Stops watching a connection whose request is complete. */
  void passOn(int Socket);

  const ReceiverLimits Limits;
  const std::function<void(ReceivedRequest)> OnRequest;
  int Epoll = -1;   ///< Epoll instance that watches the sockets.
  int Wake = -1;    ///< Eventfd that interrupts the wait of the thread.
  std::mutex Guard; ///< Guards the members that follow.
  std::map<int, ReceivingConnection> Connections; ///< By socket.
  std::map<ConnectionId, int> Sockets;            ///< Of the connections.
  ConnectionTable Table; ///< Connections, served ones included.
  RefusalEpisodes Episodes{};
  bool Stopped = false;
  std::thread Reader;
};

/**
 * Sends an error answer to a request that no thread has handled, and shuts down
 * the sending side of its connection.
 * @param Socket The connection; the caller of this function closes it.
 * @param Why Kind of the error and detail.
 */
void sendRefusal(int Socket, const Failure &Why);

} // namespace jacinthpond

#endif
