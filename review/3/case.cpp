/** @file case.cpp A worker answers with status codes that the HTTP library does
 * not list.
 *
 * Usage: case3 ROOT RECORD
 */

#include "../common/stand_in.h"

#include <array>
#include <csignal>
#include <iostream>

using namespace review;

namespace {

constexpr size_t Asks = 10;

/** A status with which the worker answers. */
struct Status {
  const char *Code;   ///< The three digits.
  const char *Reason; ///< Its reason phrase.
};

/** A failed booking: 425 is registered (RFC 8470), 529 is what servers of
 * language models answer under load. */
constexpr std::array<Status, 2> Judged = {
    {{"425", "Too Early"}, {"529", "Overloaded"}}};
/** The same without the disruption: codes that the library lists. */
constexpr std::array<Status, 2> Listed = {
    {{"424", "Failed Dependency"}, {"507", "Insufficient Storage"}}};
/** A success that the library does not list; seen, not judged. */
constexpr Status UnlistedSuccess = {"299", "Done"};

/** Plays the case. @return Exit code. */
int play(const std::string &Root, const std::string &RecordPath) {
  Record Notes(RecordPath);
  const auto &Given = isTroubleWanted() ? Judged : Listed;
  Notes.line(std::string("the worker answers bookings with ") +
             Given.front().Code + " and " + Given.back().Code);
  Store Platform;
  // The body of a booking names the status of its answer.
  Worker Booking("i-0a", Notes, [](const HttpMessage &Asked, int Socket) {
    return sendAll(Socket, signedAnswer(Asked, Asked.Body, "{\"slot\":7}"));
  });
  Fleet Entries(Root, Platform.address(), 2);
  Platform.put(
      "op/config",
      config(7, Json::array({route("book", "non_idempotent", "bespreek")}),
             {"bespreek"}, {{"huts", {"key-1"}}}));
  Platform.put("servers/i-0a", Booking.entry("bespreek", "drak-sani"));
  for (size_t n = 0; n < Entries.count(); ++n)
    if (!Entries.start(n))
      return ExitNotRun;
  if (!Entries.waitReady(Millis(15000)))
    return ExitNotRun;
  const auto Book = [&](size_t n, const Status &One, bool &Same) {
    Ask What;
    What.Method = "POST";
    What.Path = "/book/1";
    What.Body = std::string(One.Code) + " " + One.Reason;
    std::string Id;
    const HttpMessage Answer =
        ask(Entries.front(n % Entries.count()), What, Id);
    Notes.line("client: " + Id + ": the worker gave " + What.Body +
               ", the client got \"" + Answer.StartLine + "\", signature " +
               Answer.field("x-jacinthpond-response-signature") + ", body " +
               Answer.Body);
    Same = Answer.status() == One.Code;
    return Answer.Whole;
  };
  bool Same = false;
  if (!Book(0, {"200", "OK"}, Same) || !Same)
    return ExitNotRun; // The deployment does not serve at all.
  size_t Changed = 0;
  for (size_t n = 0; n < Asks; ++n) {
    Book(n, Given.at(n % Given.size()), Same);
    Changed += Same ? 0 : 1;
  }
  if (isTroubleWanted())
    Book(0, UnlistedSuccess, Same);
  Notes.line("MIXED " + std::string(Changed > 0 ? "broken" : "held") + ": " +
             std::to_string(Changed) + " of " + std::to_string(Asks) +
             " answers bear the worker's signature and another status than it "
             "gave");
  return Changed > 0 ? ExitBroken : ExitHeld;
}

} // namespace

int main(int Count, char **Arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  if (Count != 3) {
    std::cerr << "usage: case3 ROOT RECORD\n";
    return ExitNotRun;
  }
  return play(Arguments[1], Arguments[2]);
}
