/** @file request_receiver.h Collects whole requests of many connections.
 *
 * The HTTP library gives a thread to each connection. Callers that send
 * slowly, or nothing, would hold all of them and keep others out: nobody else
 * would get an answer. Therefore one thread collects the bytes of all
 * connections and only a whole request is given a thread.
 */

#ifndef JACINTHPOND_ADAPTERS_HTTP_REQUEST_RECEIVER_H
#define JACINTHPOND_ADAPTERS_HTTP_REQUEST_RECEIVER_H

#include "base/time_type.h"
#include "http/request_framing.h"

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace jacinthpond {

/** Bounds of all connections. */
struct ReceiverLimits {
  FramingLimits Request;        ///< Of one request.
  size_t MaxConnections = 2048; ///< Connections that send or idle at a time.
  Millis ReadTimeout{5000};     ///< Longest time for a whole request.
  Millis IdleTimeout{2000};     ///< Longest silence between two requests.
};

/** A connection on which requests are awaited. */
struct Waiting {
  std::string Buffer;   ///< Received and not yet given away.
  TimePoint Deadline;   ///< When it is closed or refused.
  size_t Needed = 0;    ///< Length of the request; 0: not known.
  uint32_t Served = 0;  ///< Requests served before.
  bool Closing = false; ///< Refused; what comes is thrown away.
};

/** A whole request with its connection. */
struct Received {
  int Socket = -1;     ///< The connection; belongs to the taker.
  std::string Request; ///< Head and body.
  std::string Rest;    ///< Bytes of the next request.
  uint32_t Served = 0; ///< Requests served before.
};

/** Owns connections that wait for requests. */
class RequestReceiver {
public:
  /**
   * Starts the thread.
   * @param Bounds Limits.
   * @param Take Gets each whole request, on the receiver's thread.
   */
  RequestReceiver(const ReceiverLimits &Bounds,
                  std::function<void(Received)> Take);
  /** Ends the thread and closes all connections. */
  ~RequestReceiver();
  RequestReceiver(const RequestReceiver &) = delete;
  RequestReceiver &operator=(const RequestReceiver &) = delete;

  /**
   * Waits for the next request of a connection.
   * @param Socket The connection; belongs to the receiver from now on.
   * @param Rest Bytes that arrived already.
   * @param Served Requests served before.
   */
  void add(int Socket, std::string Rest, uint32_t Served);

  /** Ends the thread and closes all connections; later ones are closed. */
  void stop();

private:
  void run();
  void readFrom(int Socket, std::vector<Received> &Whole);
  bool takeBytes(int Socket, Waiting &One, std::vector<Received> &Whole);
  void endOfInput(int Socket, Waiting &One);
  void refuse(int Socket, Waiting &One, const Failure &Why);
  void expire();
  void makeRoom();
  void forget(int Socket, bool Close);

  const ReceiverLimits Limits;
  const std::function<void(Received)> OnRequest;
  int Events = -1;  ///< Kernel's list of sockets to watch.
  int Wake = -1;    ///< Readable when the thread is to look again.
  std::mutex Guard; ///< Guards Connections and Stopped.
  std::map<int, Waiting> Connections;
  bool Stopped = false;
  std::thread Reader;
};

/**
 * Answers a request that nobody looked at, on its bare connection.
 * @param Socket The connection; its sending side is closed.
 * @param Why Row of the error table and detail.
 */
void answerRefused(int Socket, const Failure &Why);

} // namespace jacinthpond

#endif
