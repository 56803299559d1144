/** @file event_parser.cpp Parser of an engine's event stream. */

#include "http/event_parser.h"

#include "http/json_fields.h"

namespace jacinthpond {

using Json = nlohmann::json;

namespace {

/** Longest line; an engine that never ends a line must not exhaust memory. */
constexpr size_t MaxLineBytes = 1 << 20;

} // namespace

bool EventParser::parseLine(const std::string &Line) {
  static const std::string Prefix = "data: ";
  if (Line.compare(0, Prefix.size(), Prefix) != 0)
    return true;
  const Json Event = Json::parse(Line.substr(Prefix.size()), nullptr, false);
  if (!Event.is_object())
    return false;
  if (Event.contains("begin"))
    return OnBegin(Digest{textOf(Event, "begin")});
  if (Event.contains("token"))
    return OnToken(textOf(Event, "token"));
  if (Event.contains("end"))
    End = EngineEnd{numberOf(Event, "end"), Digest{textOf(Event, "weights")}};
  return true;
}

bool EventParser::parseBytes(const char *Data, size_t n) {
  if (Cancelled)
    return false;
  Buffer.append(Data, n);
  size_t Start = 0;
  for (size_t LineEnd = Buffer.find('\n'); LineEnd != std::string::npos;
       LineEnd = Buffer.find('\n', Start)) {
    const bool Continue = parseLine(Buffer.substr(Start, LineEnd - Start));
    Start = LineEnd + 1;
    if (!Continue) {
      Cancelled = true;
      return false;
    }
  }
  Buffer.erase(0, Start);
  Cancelled = Buffer.size() > MaxLineBytes;
  return !Cancelled;
}

} // namespace jacinthpond
