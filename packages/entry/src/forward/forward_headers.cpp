/** @file forward_headers.cpp Headers of forwarded requests and responses. */

#include "forward/forward_headers.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <sstream>

namespace jacinthpond {

namespace http = boost::beast::http;
using boost::beast::iequals;

namespace {

/** Hop-by-hop headers (RFC 9110, 7.6.1), and framing headers. */
constexpr std::array<std::string_view, 11> HopByHopHeaders = {
    "Connection",
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

/** Says whether a header must not be forwarded. */
bool isHopByHopHeader(boost::beast::string_view Name) {
  return std::ranges::any_of(HopByHopHeaders, [&](std::string_view One) {
    return iequals(Name, boost::beast::string_view(One.data(), One.size()));
  });
}

/** Says whether the Connection header lists a header as hop-by-hop. */
bool isListedInConnection(const http::fields &From,
                          boost::beast::string_view Name) {
  const http::token_list Listed(From[http::field::connection]);
  return std::any_of(Listed.begin(), Listed.end(),
                     [&](const auto &One) { return iequals(One, Name); });
}

/** Says whether a caller's header is dropped because the entry sets it itself,
 * or because it has the caller's key. */
bool isSystemHeader(const HeaderNames &Names, boost::beast::string_view Name) {
  const std::array Own = {&Names.Remaining, &Names.ExpectedServer,
                          &Names.ExpectedVersion, &Names.Workspace,
                          &Names.Rank};
  return iequals(Name, "Authorization") ||
         std::ranges::any_of(
             Own, [&](const std::string *One) { return iequals(Name, *One); });
}

} // namespace

std::string requestHead(const CallerRequest::header_type &Request,
                        size_t BodyBytes, const HeaderNames &Names,
                        const AttemptHeaders &Added) {
  http::request<http::empty_body> Sent;
  Sent.version(11);
  Sent.method_string(Request.method_string());
  Sent.target(Request.target());
  for (const auto &Field : Request) {
    const auto Name = Field.name_string();
    const bool Replaced = Added.LastEventId && iequals(Name, Names.LastEventId);
    if (!isHopByHopHeader(Name) && !isSystemHeader(Names, Name) && !Replaced &&
        !isListedInConnection(Request, Name))
      Sent.insert(Field.name(), Name, Field.value());
  }
  Sent.set(Names.Remaining, std::to_string(Added.Remaining.count()));
  Sent.set(Names.ExpectedServer, Added.Server.Value);
  if (!Added.Version.empty())
    Sent.set(Names.ExpectedVersion, Added.Version);
  if (!Added.Workspace.empty())
    Sent.set(Names.Workspace, Added.Workspace);
  if (Added.LastEventId)
    Sent.set(Names.LastEventId, std::to_string(*Added.LastEventId));
  Sent.set(Names.Rank, std::to_string(std::min(Added.Rank, 9U)));
  const bool HasBody = BodyBytes > 0 || Request.method() == http::verb::post ||
                       Request.method() == http::verb::put;
  if (HasBody)
    Sent.content_length(BodyBytes);
  std::ostringstream Text;
  Text << Sent.base();
  return Text.str();
}

std::string formatSeconds(Millis Time) {
  std::array<char, 32> Text{};
  std::snprintf(Text.data(), Text.size(), "%.3f",
                static_cast<double>(Time.count()) / 1000);
  return Text.data();
}

void copyAnswerHead(const ResponseHead &Head, ResponseHead &Into) {
  Into.result(Head.result_int());
  // Without a reason of its own, the library gives the one of the status, which
  // is "<unknown-status>" for a status without a name.
  const bool HasReason = Head.result() != http::status::unknown ||
                         Head.reason() != http::obsolete_reason(Head.result());
  Into.reason(HasReason ? Head.reason() : "Unknown");
  for (const auto &Field : Head)
    if (!isHopByHopHeader(Field.name_string()) &&
        !isListedInConnection(Head, Field.name_string()))
      Into.insert(Field.name(), Field.name_string(), Field.value());
}

} // namespace jacinthpond
