/** @file back_end_call.cpp One request on one connection to a back end. */

#include "forward/back_end_call.h"

#include "clock/runtime_clock.h"
#include "forward/socket_options.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace jacinthpond {

namespace http = boost::beast::http;
using Tcp = boost::asio::ip::tcp;
using Error = boost::system::error_code;

namespace {

/** Bytes read at a time; an event of a stream has a few hundred. */
constexpr size_t ReadBytes = 4096;
/** Idle time of a connection whose back end says nothing about it. */
constexpr Millis UsualKeep{4000};
/** Part of the idle time that a back end tells which is made use of: what is
 * sent at the end of it would cross the back end's close. */
constexpr double KeepPart = 0.5;

/** Reads "timeout=N" of a Keep-Alive header. */
Millis keepTime(const ResponseHead &Head) {
  const auto it = Head.find(http::field::keep_alive);
  if (it == Head.end())
    return UsualKeep;
  constexpr std::string_view Name = "timeout=";
  const std::string_view Value(it->value().data(), it->value().size());
  const size_t At = Value.find(Name);
  if (At == std::string_view::npos)
    return UsualKeep;
  int64_t Seconds = 0;
  const char *Begin = Value.data() + At + Name.size();
  std::from_chars(Begin, Value.data() + Value.size(), Seconds);
  return Millis(
      static_cast<int64_t>(1000 * KeepPart * static_cast<double>(Seconds)));
}

/** Says whether an idle connection is open and silent, as it has to be. */
bool stillIdle(BackEndConnection &Idle) {
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

std::unique_ptr<BackEndConnection> BackEndConnections::take(const Address &At,
                                                            TimePoint Now) {
  const auto it = Kept.find(At);
  if (it == Kept.end())
    return nullptr;
  while (!it->second.empty()) {
    auto Idle = std::move(it->second.back());
    it->second.pop_back();
    if (Now - Idle->IdleSince < Idle->KeepFor && stillIdle(*Idle))
      return Idle;
  }
  return nullptr;
}

void BackEndConnections::keep(std::unique_ptr<BackEndConnection> Idle,
                              size_t Most) {
  auto &Row = Kept[Idle->At];
  if (Row.size() < Most && Idle->KeepFor.count() > 0)
    Row.push_back(std::move(Idle));
}

void BackEndConnections::sweep(TimePoint Now) {
  for (auto &[At, Row] : Kept)
    std::erase_if(Row, [&](const auto &Idle) {
      return Now - Idle->IdleSince >= Idle->KeepFor;
    });
  std::erase_if(Kept, [](const auto &Row) { return Row.second.empty(); });
}

BackEndCall::BackEndCall(boost::asio::io_context &Io, BackEndConnections &Kept,
                         CallPlan Plan, CallEvents &Events)
    : Io(Io), Kept(Kept), Plan(std::move(Plan)), Events(&Events),
      ConnectTimer(Io) {}

void BackEndCall::start(Millis ConnectLimit) {
  if (!Plan.NewConnection)
    Link = Kept.take(Plan.To, RuntimeClock().now());
  Reused = Link != nullptr;
  if (Reused)
    exchange();
  else
    connect(ConnectLimit);
}

void BackEndCall::connect(Millis Limit) {
  // A document holds valid addresses only; port 0 is never reached.
  const Tcp::endpoint To = endpointOf(Plan.To.Value).value_or(Tcp::endpoint());
  Link = std::make_unique<BackEndConnection>(
      BackEndConnection{Tcp::socket(Io), {}, Plan.To, {}, {}});
  const auto Self = shared_from_this();
  ConnectTimer.expires_after(Limit);
  ConnectTimer.async_wait([Self](const Error &Expired) {
    if (!Expired && !Self->Sent)
      Self->failed(CallFailure::Unreached);
  });
  Link->Socket.async_connect(To, [Self](const Error &Bad) {
    if (Self->Events == nullptr)
      return;
    if (Bad) {
      Self->failed(CallFailure::Unreached);
      return;
    }
    Self->exchange();
  });
}

void BackEndCall::newParser() {
  Reading.emplace();
  Reading->body_limit(boost::none);
  Reading->eager(true);
  Reading->skip(Plan.NoBody);
  HeadDone = false;
  Foreign = false;
}

void BackEndCall::exchange() {
  Sent = true;
  ConnectTimer.cancel();
  setTrafficOptions(Link->Socket);
  newParser();
  const auto Self = shared_from_this();
  boost::asio::async_write(Link->Socket, boost::asio::buffer(Plan.Bytes),
                           [Self](const Error &ec, size_t) {
                             // A failed write shows in the read as well; a
                             // back end may have answered before it.
                             Self->Written = !ec;
                           });
  read();
}

void BackEndCall::read() {
  const auto Self = shared_from_this();
  Link->Socket.async_read_some(
      Link->Buffer.prepare(ReadBytes), [Self](const Error &ec, size_t n) {
        if (Self->Events == nullptr)
          return;
        if (!ec) {
          Self->Heard = true;
          Self->Link->Buffer.commit(n);
          Self->parse();
          return;
        }
        // An answer without a length ends with its connection; a reset is no
        // such end.
        Error Bad;
        if (ec == boost::asio::error::eof && Self->HeadDone && !Self->Foreign)
          Self->Reading->put_eof(Bad);
        if (ec == boost::asio::error::eof && Self->HeadDone && !Self->Foreign &&
            !Bad && Self->Reading->is_done()) {
          Self->Link->KeepFor = Millis{0};
          Self->bodyCame();
          Self->ended();
          return;
        }
        Self->closed();
      });
}

void BackEndCall::closed() {
  failed(Reused && !Heard ? CallFailure::Stale : CallFailure::Broken);
}

void BackEndCall::parse() {
  while (Events != nullptr) {
    Error ec;
    const size_t n = Reading->put(Link->Buffer.data(), ec);
    Link->Buffer.consume(n);
    if (ec && ec != http::error::need_more) {
      failed(CallFailure::Broken);
      return;
    }
    if (Reading->is_header_done() && !HeadDone && !headCame())
      continue;
    if (Events == nullptr)
      return;
    if (HeadDone && !Foreign)
      bodyCame();
    if (Events == nullptr)
      return;
    if (Reading->is_done() && !Foreign) {
      ended();
      return;
    }
    if (Reading->is_done()) {
      newParser(); // The answer to this request comes behind.
      continue;
    }
    if (ec == http::error::need_more || n == 0 || Link->Buffer.size() == 0)
      break;
  }
  if (Events != nullptr)
    read();
}

/** Looks at a head that came; false when another one follows at once. */
bool BackEndCall::headCame() {
  const auto &Head = Reading->get();
  const unsigned Status = Head.result_int();
  if (Status < 200) {
    newParser();
    return false;
  }
  HeadDone = true;
  // An answer to an earlier request may come late, in place of this one's.
  // Its id shows it; the body is read and dropped.
  const auto Id = Head.find(Plan.IdHeader);
  Foreign = !Plan.AttemptId.empty() && Id != Head.end() &&
            Id->value() != Plan.AttemptId;
  if (Foreign)
    return true;
  Link->KeepFor = Reading->keep_alive() ? keepTime(Head) : Millis{0};
  Events->callHead(Head);
  return true;
}

void BackEndCall::bodyCame() {
  std::string &Body = Reading->get().body();
  if (Body.empty())
    return;
  std::string Part;
  Part.swap(Body);
  Events->callBody(std::move(Part));
}

void BackEndCall::ended() {
  CallEvents *Told = std::exchange(Events, nullptr);
  // Bytes behind a whole answer belong to no request, and a request that was
  // not sent whole would be read into the next one.
  if (Written && Link->Buffer.size() == 0 && Link->KeepFor.count() > 0) {
    Link->IdleSince = RuntimeClock().now();
    Kept.keep(std::move(Link), Plan.MostKept);
  }
  Link.reset();
  Told->callEnded();
}

void BackEndCall::failed(CallFailure Why) {
  CallEvents *Told = std::exchange(Events, nullptr);
  if (Told == nullptr)
    return;
  cancel();
  Told->callFailed(Why);
}

void BackEndCall::cancel() {
  Events = nullptr;
  ConnectTimer.cancel();
  Error Ignored; // The connection is given up, whatever state it is in.
  if (!Link)
    return;
  // Reset, not ended. A back end whose host stands still reads on waking what
  // lies in its sockets, and a request with an orderly end behind it looks like
  // one of a caller that still waits for the answer. A reset says that nobody
  // does, and takes back what has not been sent yet.
  Link->Socket.set_option(boost::asio::socket_base::linger(true, 0), Ignored);
  Link->Socket.close(Ignored);
}

} // namespace jacinthpond
