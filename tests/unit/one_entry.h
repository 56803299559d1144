/** @file one_entry.h An entry whose peers, configuration service and clock are
 * simulated by the test.
 */

#ifndef JACINTHPOND_TESTS_UNIT_ONE_ENTRY_H
#define JACINTHPOND_TESTS_UNIT_ONE_ENTRY_H

#include "attempts/entry_func.h"
#include "configuration/config_view_func.h"
#include "membership/join_func.h"

#include <algorithm>
#include <optional>
#include <string>

namespace jacinthpond {

/**
 * A document with entries a, b, c and e and worker w, all in domain d. The
 * workspace is named x, to make documents of the same version differ.
 */
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

/** Entry a; the test simulates its peers. */
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

  /** Handles a successful read of the configuration service. */
  void receiveConfig(const std::string &Text) {
    handleEntryConfigRead(State, {Text, {}}, Now, Now, Out);
  }

  /** Advances the clock in ticks of 50 ms. */
  void advanceClock(Millis Time) {
    for (Millis n{0}; n < Time; n += Millis{50}) {
      Now += Millis{50};
      handleEntryTick(State, Now, Out);
    }
  }

  /** Opens a wanted link and receives the first message of its peer. */
  LinkId connectPeer(const std::string &Name, uint64_t Version, bool Fresh) {
    const LinkId Link = *State.Fleet.Wanted.at(HostName{Name}).Link;
    handleEntryLinkOpened(State, Link, Now, Out);
    Hello Peer;
    Peer.Sender = Name == "w" ? Role::Agent : Role::Entry;
    Peer.Run.Value = 11;
    Peer.Name.Value = Name;
    Peer.Domain.Value = "d"; // As in document().
    Peer.Version.Value = Version;
    Peer.Fresh = Fresh;
    handleEntryMessage(State, Link, Peer, Now, Out);
    return Link;
  }

  /** Receives a document from a peer; empty text for no newer one. */
  void receiveDocument(LinkId Link, const std::string &Text, bool Fresh) {
    handleEntryMessage(State, Link, ConfigPush{Text, Fresh}, Now, Out);
  }

  /** Opens the links to all peers, which have no newer document. */
  void connectAllPeers(uint64_t Version) {
    advanceClock(Millis{50}); // Opens the links.
    for (const char *Name : {"b", "c", "e", "w"})
      receiveDocument(connectPeer(Name, Version, true), "", true);
    advanceClock(Millis{100});
  }

  /** Number of requests for a document sent to peers, probes aside. */
  size_t pullsSent() const {
    return static_cast<size_t>(std::ranges::count_if(Out, [](const Effect &e) {
      const auto *Sent = std::get_if<SendMessage>(&e);
      const auto *Pull =
          Sent == nullptr ? nullptr : std::get_if<ConfigPull>(&Sent->Content);
      return Pull != nullptr && !Pull->Probe;
    }));
  }

  /** Number of heartbeats sent to a peer. */
  size_t heartbeatsSentTo(const std::string &Name) const {
    return static_cast<size_t>(std::ranges::count_if(Out, [&](const Effect &e) {
      const auto *Sent = std::get_if<SendMessage>(&e);
      return Sent != nullptr && Sent->Link == linkOf(Name) &&
             std::holds_alternative<Heartbeat>(Sent->Content);
    }));
  }

  /** The link to a peer. */
  LinkId linkOf(const std::string &Name) const {
    return *State.Fleet.Wanted.at(HostName{Name}).Link;
  }

  /** The next heartbeat of a peer; worker w reports that it is serving. */
  Heartbeat nextHeartbeat(const std::string &Name) {
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

  /** Receives a message from a peer. */
  void receiveMessage(const std::string &Name, const Message &m) {
    handleEntryMessage(State, linkOf(Name), m, Now, Out);
  }

  /** Sends a call; gives its error, or nothing when it was sent on. */
  std::optional<ErrorKind> sendCall() {
    Out.clear();
    CallRequest Request;
    Request.Call.Value = ++Calls;
    Request.Class.Value = "r";
    Request.Workspace.Value = "x";
    startCall(State, Request, Now, Out);
    for (const Effect &e : Out)
      if (const auto *Error = std::get_if<CallError>(&e);
          Error != nullptr && Error->Call == Request.Call)
        return Error->Why.Kind;
    return std::nullopt;
  }

  /** Version of the document in force. */
  uint64_t version() const { return versionInForce(State.View).Value; }
  /** True while the configuration of the entry is fresh. */
  bool fresh() const { return isViewFresh(State.Fleet); }

  TimePoint Now{std::chrono::hours{1}};
  EntryState State;
  uint64_t Beats = 0;
  uint64_t Calls = 0;
  Effects Out;
};

} // namespace jacinthpond

#endif
