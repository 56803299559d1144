/** @file flood_server.h A server whose responses do not end. */

#ifndef JACINTHPOND_TESTS_INTEGRATION_FLOOD_SERVER_H
#define JACINTHPOND_TESTS_INTEGRATION_FLOOD_SERVER_H

#include "scripted_server.h"

#include <string>
#include <vector>

namespace jacinthpond::fleet {

/** What a server sends to each request. */
struct Flood {
  const char *Name;    ///< For messages.
  std::string Begin;   ///< Sent first; "ID" stands for the attempt's id.
  std::string Forever; ///< Sent again and again, until the entry closes.
};

/** Gives the script of a server that sends bytes until it is cut off. */
inline ServerScript floodScript(const Flood &Kind) {
  return [Kind](ScriptedRequest &Request) {
    std::string Block;
    while (Block.size() < 65536)
      Block += Kind.Forever;
    boost::system::error_code ec;
    boost::asio::write(Request.Socket,
                       boost::asio::buffer(Request.withId(Kind.Begin)), ec);
    while (!ec && !Request.Stopped)
      boost::asio::write(Request.Socket, boost::asio::buffer(Block), ec);
  };
}

/** All kinds of responses without end. */
inline std::vector<Flood> allFloods() {
  const std::string Other =
      "HTTP/1.1 200 OK\r\nX-Jacinthpond-Attempt-Id: x\r\n";
  const std::string Events = Good + "Content-Type: text/event-stream\r\n";
  return {
      {"no HTTP", "", "x"},
      {"no HTTP, lines", "", "x\r\n"},
      {"head, one line", Good + "X: ", "x"},
      {"head, lines", Good, "X: x\r\n"},
      {"body until the close", Good + "\r\n", "x"},
      {"body by chunks", Good + Chunked, "5\r\nhello\r\n"},
      {"body of a length", Good + "Content-Length: 999999999999\r\n\r\n", "x"},
      {"chunk extension", Good + Chunked + "5;x=", "x"},
      {"chunk extensions", Good + Chunked,
       "1;x=" + std::string(9000, 'x') + "\r\nx\r\n"},
      {"trailer", Good + Chunked + "0\r\nX: ", "x"},
      {"another's answer", Other + "\r\n", "x"},
      {"another's chunks", Other + Chunked, "5\r\nhello\r\n"},
      {"another's length", Other + "Content-Length: 999999999999\r\n\r\n", "x"},
      {"answers of others", "", Other + "Content-Length: 1\r\n\r\nx"},
      {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"failure", "HTTP/1.1 500 Failed\r\nX-Jacinthpond-Attempt-Id: ID\r\n\r\n",
       "x"},
      {"comments", Events + "\r\n", ": beat\n\n"},
      {"comments by chunks", Events + Chunked, "8\r\n: beat\n\n\r\n"},
      {"empty lines", Events + "\r\n", "\n"},
      {"event", Events + "\r\n", "data: x\n"},
  };
}

/** Memory that the platform gives an entry, in MB. */
constexpr size_t MemoryLimit = 260;
/** Time by which a caller hears of a response that is broken off. Its deadline
 * is 4 s. */
constexpr std::chrono::milliseconds AtOnce{2000};

} // namespace jacinthpond::fleet

#endif
