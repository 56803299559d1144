/** @file back_end_connections.cpp Connections to back ends. */

#include "forward/back_end_connections.h"

#include "http/connection_state.h"

#include <boost/asio/buffer.hpp>

#include <utility>

namespace jacinthpond {

using Error = boost::system::error_code;

namespace {

/** Says whether a connection is still open and has no unread data. */
bool isIdle(BackEndConnection &Idle) {
  if (Idle.Buffer.size() > 0)
    return false;
  char Byte = 0;
  Error ec;
  Idle.Socket.non_blocking(true, ec);
  Idle.Socket.receive(boost::asio::buffer(&Byte, 1),
                      boost::asio::socket_base::message_peek, ec);
  return ec == boost::asio::error::would_block;
}

} // namespace

bool isBroken(BackEndConnection &One) {
  return !One.Socket.is_open() ||
         isConnectionBroken(One.Socket.native_handle());
}

std::unique_ptr<BackEndConnection>
BackEndConnectionPool::take(const Address &At, TimePoint Now) {
  const auto it = Connections.find(At);
  if (it == Connections.end())
    return nullptr;
  while (!it->second.empty()) {
    auto Idle = std::move(it->second.back());
    it->second.pop_back();
    if (Now - Idle->IdleSince < Idle->IdleLimit && isIdle(*Idle))
      return Idle;
  }
  return nullptr;
}

void BackEndConnectionPool::keep(std::unique_ptr<BackEndConnection> Idle,
                                 size_t MaxKept) {
  auto &Row = Connections[Idle->At];
  if (Row.size() < MaxKept && Idle->IdleLimit.count() > 0)
    Row.push_back(std::move(Idle));
}

void BackEndConnectionPool::closeExpired(TimePoint Now) {
  for (auto &[At, Row] : Connections)
    std::erase_if(Row, [&](const auto &Idle) {
      return Now - Idle->IdleSince >= Idle->IdleLimit;
    });
  std::erase_if(Connections,
                [](const auto &Row) { return Row.second.empty(); });
}

} // namespace jacinthpond
