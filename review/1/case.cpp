/** @file case.cpp Another writer's entry below servers/, then ordinary work of
 * the operator and a restart of all entries.
 *
 * Usage: case1 ROOT RECORD
 */

#include "../common/stand_in.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

using namespace review;

namespace {

/** Bounds of the deployment, from the sheet of spoorpad. */
constexpr Millis ConfigApply{2000};
constexpr Millis Drain{2000};
constexpr Millis Recovery{12000};
constexpr size_t Asks = 20;

const std::vector<std::string> Services = {"bespreek", "kantoor"};

/** What clients and workers saw of one question to the fleet. */
struct Outcome {
  size_t Served = 0;                      ///< Answers with status 200.
  std::map<std::string, size_t> Ran;      ///< Runs by worker.
  std::map<std::string, size_t> Statuses; ///< Answers by status.
};

/** The deployment: a store, three workers and two entries. */
struct Deployment {
  explicit Deployment(const std::string &Root, Record &Notes)
      : Notes(Notes), Old("i-0a", Notes), Leaving("i-0b", Notes),
        New("i-0c", Notes), Entries(Root, Platform.address(), 2) {}

  /** Writes an item of the store and notes its acknowledgement. */
  void put(const std::string &Key, const std::string &Value) {
    Platform.put(Key, Value);
    Notes.line("store: acknowledged " + Key + " = " + Value);
  }

  /** Sends requests by turns to all entries, and counts what came of them. */
  Outcome askAll(const Ask &What) {
    Outcome Seen;
    std::set<std::string> Ids;
    for (size_t n = 0; n < Asks; ++n) {
      std::string Id;
      const HttpMessage Answer =
          ask(Entries.front(n % Entries.count()), What, Id);
      Ids.insert(Id);
      const std::string Status =
          Answer.Whole ? Answer.status() : std::string("none");
      Notes.line("client: " + Id + " " + What.Method + " " + What.Path + " " +
                 What.Key + " -> " + Status);
      ++Seen.Statuses[Status];
      Seen.Served += Status == "200" ? 1 : 0;
    }
    for (Worker *One : {&Old, &Leaving, &New})
      for (const Run &Each : One->runs())
        if (Ids.contains(Each.Id))
          ++Seen.Ran[One->Id];
    return Seen;
  }

  Record &Notes;
  Store Platform;
  Worker Old;     ///< Stays in service bespreek.
  Worker Leaving; ///< Of service bespreek; leaves.
  Worker New;     ///< Of service kantoor.
  Fleet Entries;
};

std::string describe(const Outcome &Seen) {
  std::string Text;
  for (const auto &[Status, n] : Seen.Statuses)
    Text += " " + std::to_string(n) + " x " + Status;
  for (const auto &[Id, n] : Seen.Ran)
    Text += ", " + std::to_string(n) + " run by " + Id;
  return Text;
}

/** The flaw that VARIANT in the environment names. */
std::string variant() {
  const char *Given = std::getenv("VARIANT");
  return Given == nullptr ? "address" : Given;
}

/** The key that the operator's second version adds. With VARIANT=key it has the
 * length of a signed token, and there is no other writer. */
std::string addedKey() {
  constexpr size_t TokenBytes = 300;
  return isTroubleWanted() && variant() == "key" ? std::string(TokenBytes, 'k')
                                                 : "jnbanfqasnmgkcuyj8pj";
}

/**
 * Gives the other writer's entry. It has a name where the address is due,
 * unless VARIANT in the environment names another flaw.
 */
Json foreignEntry() {
  Json Entry = {{"service", "bespreek"},
                {"address", "shelf-17"},
                {"zone", "drak-sani"},
                {"state", "ready"},
                {"slots", 6},
                {"sequence", 1}};
  const std::string Variant = variant();
  if (Variant != "address")
    Entry["address"] = "127.0.0.1:9";
  if (Variant == "zone") // The zone is missing.
    Entry["zone"] = "";
  if (Variant == "bytes") // The zone can't be read.
    Entry["zone"] = "\x01\x02";
  if (Variant == "number") // The slots are of another type: an id.
    Entry["slots"] = uint64_t{9481623004};
  if (Variant == "text") // The slots are of another type: a text.
    Entry["slots"] = "six";
  return Entry;
}

/** Plays the case. @return Exit code. */
int play(const std::string &Root, const std::string &RecordPath) {
  Record Notes(RecordPath);
  Deployment All(Root, Notes);
  const bool Trouble = isTroubleWanted();
  Notes.line(std::string("the case is played ") +
             (Trouble ? "with" : "without") + " the other writer's entry");
  const Json FirstRoutes = {route("book", "non_idempotent", "bespreek"),
                            route("check", "idempotent", "bespreek")};
  All.put("op/config",
          config(7, FirstRoutes, Services, {{"huts", {"key-1", "key-2"}}}));
  All.put("servers/i-0a", All.Old.entry("bespreek", "drak-sani"));
  All.put("servers/i-0b", All.Leaving.entry("bespreek", "ceder-clan"));
  All.put("servers/i-0c", All.New.entry("kantoor", "drak-sani"));
  for (size_t n = 0; n < All.Entries.count(); ++n)
    if (!All.Entries.start(n))
      return ExitNotRun;
  if (!All.Entries.waitReady(Millis(15000)))
    return ExitNotRun;
  const Ask Check;
  Ask Revoked;
  Revoked.Key = "key-2";
  Ask Book;
  Book.Method = "POST";
  Book.Path = "/book/1";
  Book.Body = "slot 7";
  for (const Ask &One : {Check, Revoked, Book})
    if (All.askAll(One).Served < Asks / 2)
      return ExitNotRun; // The deployment does not serve at all.

  if (Trouble && variant() != "key")
    All.put("servers/shelf-17", foreignEntry().dump());
  std::this_thread::sleep_for(Millis(1000));

  // CONFIG: a key is taken away, a tenant gets one, and a route moves to
  // another service.
  const Json NextRoutes = {route("book", "non_idempotent", "bespreek"),
                           route("check", "idempotent", "kantoor")};
  All.put("op/config", config(12, NextRoutes, Services,
                              {{"clubs", {addedKey()}}, {"huts", {"key-1"}}}));
  std::this_thread::sleep_for(ConfigApply + Millis(1000));
  const Outcome WithOldKey = All.askAll(Revoked);
  const Outcome Moved = All.askAll(Check);
  Ask Added;
  Added.Key = addedKey();
  const Outcome WithNewKey = All.askAll(Added);
  const size_t Denied =
      WithNewKey.Statuses.contains("401") ? WithNewKey.Statuses.at("401") : 0;
  size_t Stale = Moved.Ran.contains("i-0a") ? Moved.Ran.at("i-0a") : 0;
  Stale += Moved.Ran.contains("i-0b") ? Moved.Ran.at("i-0b") : 0;
  size_t KeyRuns = 0;
  for (const auto &[Id, n] : WithOldKey.Ran)
    KeyRuns += n;
  Notes.line("CONFIG: 3 s after version 12, with the key that it dropped:" +
             describe(WithOldKey));
  Notes.line("CONFIG: with the key that it added:" + describe(WithNewKey));
  Notes.line("CONFIG: on the route that it moved to kantoor (i-0c):" +
             describe(Moved));

  // DRAIN: a worker reports draining, serves on for a while, and ends.
  All.put("servers/i-0b",
          All.Leaving.entry("bespreek", "ceder-clan", "draining"));
  std::this_thread::sleep_for(Drain + Millis(1000));
  const Outcome Late = All.askAll(Book);
  const size_t LateRuns = Late.Ran.contains("i-0b") ? Late.Ran.at("i-0b") : 0;
  Notes.line("DRAIN: 3 s after worker i-0b was draining:" + describe(Late));
  All.Leaving.stop();
  All.Platform.remove("servers/i-0b");
  Notes.line("store: acknowledged the end of servers/i-0b");

  // RECOVER: all processes are killed, and start again after a second.
  for (size_t n = 0; n < All.Entries.count(); ++n)
    All.Entries.signal(n, SIGKILL);
  Notes.line("all entries are killed");
  std::this_thread::sleep_for(Millis(1000));
  for (size_t n = 0; n < All.Entries.count(); ++n)
    All.Entries.start(n);
  Notes.line("all entries are started again");
  std::this_thread::sleep_for(Recovery + Millis(1000));
  const Outcome After = All.askAll(Book);
  Notes.line("RECOVER: 13 s after the start:" + describe(After) +
             "; GET /ready: " + All.Entries.readiness(0) + ", " +
             All.Entries.readiness(1));
  for (const std::string &Line : All.Entries.logLines(0, "ejected"))
    Notes.line("log of entry 0: " + Line.substr(0, 240));

  const bool ConfigBroken = KeyRuns > 0 || Stale > 0 || Denied > 0;
  const bool DrainBroken = LateRuns > 0;
  const bool RecoverBroken = After.Served * 4 < Asks;
  const auto Word = [](bool Broken) { return Broken ? "broken" : "held"; };
  Notes.line(std::string("CONFIG ") + Word(ConfigBroken) + ", DRAIN " +
             Word(DrainBroken) + ", RECOVER " + Word(RecoverBroken));
  return ConfigBroken || DrainBroken || RecoverBroken ? ExitBroken : ExitHeld;
}

} // namespace

int main(int Count, char **Arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  if (Count != 3) {
    std::cerr << "usage: case1 ROOT RECORD\n";
    return ExitNotRun;
  }
  return play(Arguments[1], Arguments[2]);
}
