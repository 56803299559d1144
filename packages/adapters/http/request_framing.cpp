/** @file request_framing.cpp Length of a request that is still arriving. */

#include "http/request_framing.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace jacinthpond {

namespace {

constexpr std::string_view HeadEnd = "\r\n\r\n";
constexpr std::string_view LineEnd = "\r\n";

/** Compares header names, ignoring case. */
bool isSameName(std::string_view A, std::string_view B) {
  return std::ranges::equal(A, B, [](unsigned char x, unsigned char y) {
    return std::tolower(x) == std::tolower(y);
  });
}

/** Removes spaces and tabs at both ends. */
std::string_view trim(std::string_view Text) {
  const size_t First = Text.find_first_not_of(" \t");
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(" \t") - First + 1);
}

/** Gives the framing of a request that is refused. */
Framing refusal(ErrorKind Kind, const char *Detail) {
  Framing Parsed;
  Parsed.Why = Failure{Kind, Detail, {}};
  return Parsed;
}

/** Headers that define the length of the body. */
struct BodyHeaders {
  std::optional<size_t> Length; ///< Content-Length.
  bool InvalidLength = false;   ///< No number, or two headers differ.
  bool Chunked = false;         ///< Transfer-Encoding is present.
  bool ExpectsContinue = false; ///< Expect is present.
};

/** Parses one Content-Length header. */
void parseContentLength(std::string_view Value, BodyHeaders &Target) {
  size_t n = 0;
  const auto Read =
      std::from_chars(Value.data(), Value.data() + Value.size(), n);
  const bool Number =
      Read.ec == std::errc{} && Read.ptr == Value.data() + Value.size();
  Target.InvalidLength |= !Number || (Target.Length && *Target.Length != n);
  Target.Length = n;
}

/** Parses one header line; headers that say nothing about the body are
 * ignored. */
void parseHeader(std::string_view Line, BodyHeaders &Target) {
  const size_t Colon = Line.find(':');
  if (Colon == std::string_view::npos)
    return;
  const std::string_view Name = Line.substr(0, Colon);
  if (isSameName(Name, "Content-Length"))
    parseContentLength(trim(Line.substr(Colon + 1)), Target);
  if (isSameName(Name, "Transfer-Encoding"))
    Target.Chunked = true;
  if (isSameName(Name, "Expect"))
    Target.ExpectsContinue = true;
}

/** Parses the headers after the request line. */
BodyHeaders parseBodyHeaders(std::string_view Head) {
  BodyHeaders Parsed;
  size_t Start = Head.find(LineEnd);
  while (Start != std::string_view::npos) {
    Start += LineEnd.size();
    const size_t Stop = Head.find(LineEnd, Start);
    parseHeader(Head.substr(Start, Stop - Start), Parsed);
    Start = Stop;
  }
  return Parsed;
}

} // namespace

Framing frameRequest(std::string_view Received, const FramingLimits &Limits) {
  const size_t End = Received.substr(0, Limits.MaxHeadBytes).find(HeadEnd);
  if (End == std::string_view::npos)
    return Received.size() < Limits.MaxHeadBytes
               ? Framing{}
               : refusal(ErrorKind::TooLarge, "headers are too long");
  const BodyHeaders Body = parseBodyHeaders(Received.substr(0, End));
  // A body without a known length could be endless.
  if (Body.Chunked)
    return refusal(ErrorKind::BadRequest, "Content-Length is needed");
  if (Body.InvalidLength)
    return refusal(ErrorKind::BadRequest, "Content-Length is wrong");
  const size_t Length = Body.Length.value_or(0);
  if (Length > Limits.MaxBodyBytes)
    return refusal(ErrorKind::TooLarge, "the body is too long");
  Framing Parsed;
  Parsed.Bytes = End + HeadEnd.size() + Length;
  Parsed.ExpectsContinue = Body.ExpectsContinue;
  return Parsed;
}

} // namespace jacinthpond
