/** @file event_stream.cpp Splitting a stream of server-sent events at event
 * boundaries. */

#include "forwarding/event_stream_func.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace jacinthpond {

namespace {

/** Gives the length in bytes of the first event with its blank line; 0: it is
 * incomplete. */
size_t firstEventBytes(std::string_view Text) {
  const size_t Lf = Text.find("\n\n");
  const size_t CrLf = Text.find("\r\n\r\n");
  if (Lf == std::string_view::npos && CrLf == std::string_view::npos)
    return 0;
  return Lf < CrLf ? Lf + 2 : CrLf + 4;
}

/** Says whether a block of lines is an event: it has more than comments and
 * empty lines. */
bool isEvent(std::string_view Block) {
  for (size_t At = 0; At < Block.size();) {
    const size_t End = std::min(Block.find('\n', At), Block.size());
    const std::string_view Line = Block.substr(At, End - At);
    At = End + 1;
    if (!Line.empty() && Line != "\r" && Line.front() != ':')
      return true;
  }
  return false;
}

/** Passes a complete block on. The comments before the first event come with
 * it: until then another back end may take over. Returns false when there are
 * too many comments. */
bool passOn(EventStream &Stream, std::string_view Block, std::string &Out) {
  if (isEvent(Block)) {
    Out += std::exchange(Stream.Opening, {});
    Out += Block;
    Stream.Begun = true;
    Stream.CommentBytes = 0;
    return true;
  }
  Stream.CommentBytes += Block.size();
  (Stream.Begun ? Out : Stream.Opening) += Block;
  return Stream.CommentBytes <= MaxCommentBytes;
}

/** Parses the id line of an event; nothing: it has none that is a number. */
std::optional<uint64_t> parseEventId(std::string_view Event) {
  constexpr std::string_view Name = "id:";
  for (size_t At = 0; At < Event.size();) {
    const size_t End = std::min(Event.find('\n', At), Event.size());
    std::string_view Line = Event.substr(At, End - At);
    At = End + 1;
    if (!Line.starts_with(Name))
      continue;
    Line.remove_prefix(Name.size());
    Line.remove_prefix(std::min(Line.find_first_not_of(' '), Line.size()));
    uint64_t n = 0;
    const auto Read =
        std::from_chars(Line.data(), Line.data() + Line.size(), n);
    if (Read.ec == std::errc{})
      return n;
  }
  return std::nullopt;
}

} // namespace

EventStreamStatus appendCompleteEvents(EventStream &Stream,
                                       std::string_view Bytes,
                                       std::string &Out) {
  Stream.Partial += Bytes;
  size_t Done = 0;
  const std::string_view All = Stream.Partial;
  EventStreamStatus Status = EventStreamStatus::Good;
  while (const size_t n = firstEventBytes(All.substr(Done))) {
    const std::string_view Event = All.substr(Done, n);
    if (const auto Id = parseEventId(Event)) {
      if (Stream.LastId && *Id != *Stream.LastId + 1) {
        Status = EventStreamStatus::OutOfOrder;
        break;
      }
      Stream.LastId = Id;
    }
    Done += n;
    if (!passOn(Stream, Event, Out)) {
      Status = EventStreamStatus::TooLarge;
      break;
    }
  }
  Stream.Partial.erase(0, Done);
  if (Status == EventStreamStatus::Good &&
      Stream.Partial.size() > MaxEventBytes)
    return EventStreamStatus::TooLarge;
  return Status;
}

void dropPartialEvent(EventStream &Stream) { Stream.Partial.clear(); }

} // namespace jacinthpond
