/** @file forward_headers.cpp Headers of requests and answers on their way. */

#include "forward/forward_headers.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <array>
#include <sstream>

namespace jacinthpond {

namespace http = boost::beast::http;
using boost::beast::iequals;

namespace {

/** Headers that concern one connection (RFC 9110, 7.6.1), and framing. */
constexpr std::array<std::string_view, 11> HopHeaders = {"Connection",
                                                         "Keep-Alive",
                                                         "Proxy-Authenticate",
                                                         "Proxy-Authorization",
                                                         "Proxy-Connection",
                                                         "TE",
                                                         "Trailer",
                                                         "Transfer-Encoding",
                                                         "Upgrade",
                                                         "Content-Length",
                                                         "Expect"};

bool isHopHeader(boost::beast::string_view Name) {
  return std::ranges::any_of(HopHeaders, [&](std::string_view One) {
    return iequals(Name, boost::beast::string_view(One.data(), One.size()));
  });
}

/** Says whether a Connection header names a header as one of its own. */
bool namedByConnection(const http::fields &From,
                       boost::beast::string_view Name) {
  const http::token_list Listed(From[http::field::connection]);
  return std::any_of(Listed.begin(), Listed.end(),
                     [&](const auto &One) { return iequals(One, Name); });
}

/** Says whether the system sets a header itself, whatever the caller sent. */
bool isOwnHeader(const HeaderNames &Names, boost::beast::string_view Name) {
  const std::array Own = {&Names.Remaining, &Names.ExpectedServer,
                          &Names.ExpectedVersion, &Names.Tenant, &Names.Rank};
  return iequals(Name, "Authorization") ||
         std::ranges::any_of(
             Own, [&](const std::string *One) { return iequals(Name, *One); });
}

} // namespace

std::string requestBytes(const CallerRequest &Asked, const HeaderNames &Names,
                         const PassedOn &Passed) {
  http::request<http::string_body> Sent;
  Sent.version(11);
  Sent.method_string(Asked.method_string());
  Sent.target(Asked.target());
  for (const auto &Field : Asked.base()) {
    const auto Name = Field.name_string();
    const bool Replaced =
        Passed.LastEventId && iequals(Name, Names.LastEventId);
    if (!isHopHeader(Name) && !isOwnHeader(Names, Name) && !Replaced &&
        !namedByConnection(Asked.base(), Name))
      Sent.insert(Field.name(), Name, Field.value());
  }
  Sent.set(Names.Remaining, std::to_string(Passed.Remaining.count()));
  Sent.set(Names.ExpectedServer, Passed.Server.Value);
  if (!Passed.Version.empty())
    Sent.set(Names.ExpectedVersion, Passed.Version);
  if (!Passed.Tenant.empty())
    Sent.set(Names.Tenant, Passed.Tenant);
  if (Passed.LastEventId)
    Sent.set(Names.LastEventId, std::to_string(*Passed.LastEventId));
  Sent.set(Names.Rank, std::to_string(std::min(Passed.Rank, 9U)));
  const bool HasBody = !Asked.body().empty() ||
                       Asked.method() == http::verb::post ||
                       Asked.method() == http::verb::put;
  if (HasBody)
    Sent.content_length(Asked.body().size());
  std::ostringstream Text;
  Sent.body() = Asked.body();
  Text << Sent;
  return Text.str();
}

void copyAnswerHeaders(const ResponseHead &Head, http::fields &Into) {
  for (const auto &Field : Head)
    if (!isHopHeader(Field.name_string()) &&
        !namedByConnection(Head, Field.name_string()))
      Into.insert(Field.name(), Field.name_string(), Field.value());
}

} // namespace jacinthpond
