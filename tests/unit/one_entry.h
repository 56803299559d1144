/** @file one_entry.h An entry whose peers, service and clock the test plays. */

#ifndef JACINTHPOND_TESTS_UNIT_ONE_ENTRY_H
#define JACINTHPOND_TESTS_UNIT_ONE_ENTRY_H

#include "attempts/entry_func.h"
#include "configuration/config_view_func.h"
#include "membership/join_func.h"

#include <algorithm>
#include <optional>
#include <string>

namespace jacinthpond {

/** Four entries, all in domain d; "x" tells two documents apart. */
inline std::string document(uint64_t Version, const std::string &x = "x") {
  std::string Text = "{\"version\": " + std::to_string(Version) +
                     ", \"tenants\": [{\"name\": \"" + x +
                     "\"}], \"entries\": [";
  for (const char *Name : {"a", "b", "c", "e"})
    Text += std::string(Name == std::string("a") ? "" : ", ") +
            R"({"name": ")" + Name +
            R"(", "domain": "d", "callers": "127.0.0.1:1", )"
            R"("peers": "127.0.0.1:2"})";
  return Text + R"(], "models": [{"name": "t", "version": "1",
    "chunk_bytes": 1, "total_bytes": 1, "chunks": [")" +
         std::string(64, 'a') + R"("]}],
    "classes": [{"name": "r", "model": "t"}], "workers": [{"name": "w",
    "domain": "d", "agent": "127.0.0.1:3", "model": "t"}]})";
}

/** One entry whose peers are played by the test. */
struct OneEntry {
  OneEntry() {
    Settings Config;
    Config.Name = "a";
    Config.Domain = "d";
    Config.HeartbeatMillis = 500;
    Config.LinkSilenceMillis = 2500;
    Config.ReconnectMillis = 300;
    Config.PauseGapMillis = 2000;
    Config.CutOffMillis = 3000;
    Config.JoinWaitMillis = 1500;
    State = makeEntry(Config, Incarnation{7}, Now);
  }

  void read(const std::string &Text) {
    entryConfigRead(State, {Text, {}}, Now, Now, Out);
  }

  /** Lets time pass in ticks of the usual length. */
  void pass(Millis Time) {
    for (Millis n{0}; n < Time; n += Millis{50}) {
      Now += Millis{50};
      entryTick(State, Now, Out);
    }
  }

  /** The peer of a wanted link says hello. */
  LinkId greet(const std::string &Name, uint64_t Version, bool Fresh) {
    const LinkId Link = *State.Fleet.Wanted.at(HostName{Name}).Link;
    entryLinkOpened(State, Link, Now, Out);
    Hello Peer;
    Peer.Sender = Name == "w" ? Role::Agent : Role::Entry;
    Peer.Run.Value = 11;
    Peer.Name.Value = Name;
    Peer.Domain.Value = "d"; // As document() says.
    Peer.Version.Value = Version;
    Peer.Fresh = Fresh;
    entryMessage(State, Link, Peer, Now, Out);
    return Link;
  }

  void push(LinkId Link, const std::string &Text, bool Fresh) {
    entryMessage(State, Link, ConfigPush{Text, Fresh}, Now, Out);
  }

  /** All peers say hello and answer the first question. */
  void joinAll(uint64_t Version) {
    pass(Millis{50}); // Opens the links.
    for (const char *Name : {"b", "c", "e", "w"})
      push(greet(Name, Version, true), "", true);
    pass(Millis{100});
  }

  size_t pullsSent() const {
    return static_cast<size_t>(std::ranges::count_if(Out, [](const Effect &e) {
      const auto *Sent = std::get_if<SendMessage>(&e);
      const auto *Pull =
          Sent == nullptr ? nullptr : std::get_if<ConfigPull>(&Sent->Content);
      return Pull != nullptr && !Pull->Probe;
    }));
  }

  LinkId linkOf(const std::string &Name) const {
    return *State.Fleet.Wanted.at(HostName{Name}).Link;
  }

  /** A heartbeat of a peer; the worker says that it serves. */
  Heartbeat beat(const std::string &Name) {
    Heartbeat Beat;
    Beat.Sequence = ++Beats;
    Beat.Run.Value = 11;
    Beat.Version = versionInForce(State.View);
    Beat.ConfigDigest = digestInForce(State.View);
    Beat.Fresh = true;
    if (Name == "w")
      Beat.Load.State = WorkerState::Serving;
    return Beat;
  }

  void hear(const std::string &Name, const Message &m) {
    entryMessage(State, linkOf(Name), m, Now, Out);
  }

  /** Asks for work; gives the error, or nothing when it was sent on. */
  std::optional<ErrorKind> ask() {
    Out.clear();
    CallRequest Asked;
    Asked.Call.Value = ++Calls;
    Asked.Class.Value = "r";
    Asked.Tenant.Value = "x";
    entryCall(State, Asked, Now, Out);
    for (const Effect &e : Out)
      if (const auto *Error = std::get_if<CallError>(&e);
          Error != nullptr && Error->Call == Asked.Call)
        return Error->Why.Kind;
    return std::nullopt;
  }

  uint64_t version() const { return versionInForce(State.View).Value; }
  bool fresh() const { return viewIsFresh(State.Fleet); }

  TimePoint Now{std::chrono::hours{1}};
  EntryState State;
  uint64_t Beats = 0;
  uint64_t Calls = 0;
  Effects Out;
};

} // namespace jacinthpond

#endif
