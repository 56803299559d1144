/** @file request_framing.cpp Where a request ends. */

#include "http/request_framing.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace jacinthpond {

namespace {

constexpr std::string_view HeadEnd = "\r\n\r\n";
constexpr std::string_view LineEnd = "\r\n";

bool sameName(std::string_view A, std::string_view B) {
  return std::ranges::equal(A, B, [](unsigned char x, unsigned char y) {
    return std::tolower(x) == std::tolower(y);
  });
}

std::string_view trim(std::string_view Text) {
  const size_t First = Text.find_first_not_of(" \t");
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(" \t") - First + 1);
}

Framing refused(ErrorKind Kind, const char *Detail) {
  Framing Found;
  Found.Why = Failure{Kind, Detail, {}};
  return Found;
}

/** What the headers say about the body. */
struct BodyHeaders {
  std::optional<size_t> Length; ///< Content-Length.
  bool BadLength = false;       ///< It is no number, or two differ.
  bool Chunked = false;         ///< Transfer-Encoding is given.
  bool AsksToGoOn = false;      ///< Expect is given.
};

void readLength(std::string_view Value, BodyHeaders &Into) {
  size_t n = 0;
  const auto Read =
      std::from_chars(Value.data(), Value.data() + Value.size(), n);
  const bool Number =
      Read.ec == std::errc{} && Read.ptr == Value.data() + Value.size();
  Into.BadLength |= !Number || (Into.Length && *Into.Length != n);
  Into.Length = n;
}

void readHeader(std::string_view Line, BodyHeaders &Into) {
  const size_t Colon = Line.find(':');
  if (Colon == std::string_view::npos)
    return;
  const std::string_view Name = Line.substr(0, Colon);
  if (sameName(Name, "Content-Length"))
    readLength(trim(Line.substr(Colon + 1)), Into);
  if (sameName(Name, "Transfer-Encoding"))
    Into.Chunked = true;
  if (sameName(Name, "Expect"))
    Into.AsksToGoOn = true;
}

BodyHeaders readHeaders(std::string_view Head) {
  BodyHeaders Found;
  size_t Start = Head.find(LineEnd);
  while (Start != std::string_view::npos) {
    Start += LineEnd.size();
    const size_t Stop = Head.find(LineEnd, Start);
    readHeader(Head.substr(Start, Stop - Start), Found);
    Start = Stop;
  }
  return Found;
}

} // namespace

Framing frameRequest(std::string_view Received, const FramingLimits &Limits) {
  const size_t End = Received.substr(0, Limits.MaxHeadBytes).find(HeadEnd);
  if (End == std::string_view::npos)
    return Received.size() < Limits.MaxHeadBytes
               ? Framing{}
               : refused(ErrorKind::TooLarge, "headers are too long");
  const BodyHeaders Body = readHeaders(Received.substr(0, End));
  // A body without a known length could go on for ever.
  if (Body.Chunked)
    return refused(ErrorKind::BadRequest, "Content-Length is needed");
  if (Body.BadLength)
    return refused(ErrorKind::BadRequest, "Content-Length is wrong");
  const size_t Length = Body.Length.value_or(0);
  if (Length > Limits.MaxBodyBytes)
    return refused(ErrorKind::TooLarge, "the body is too long");
  Framing Found;
  Found.Bytes = End + HeadEnd.size() + Length;
  Found.AsksToGoOn = Body.AsksToGoOn;
  return Found;
}

} // namespace jacinthpond
