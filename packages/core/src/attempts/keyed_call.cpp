/** @file keyed_call.cpp Homes and home tokens of keyed calls. */

#include "attempts/keyed_call_func.h"

#include "attempts/home_token_func.h"
#include "base/hash_func.h"
#include "configuration/document_func.h"
#include "membership/membership_func.h"

#include <algorithm>
#include <vector>

namespace jacinthpond {

namespace {

/** True when a new home token may list a worker. */
bool mayBeHome(const EntryState &Entry, const Worker &Host) {
  const PeerLink *Link = readyLink(Entry.Fleet, Host.Name);
  if (Link == nullptr || Link->Leaving || Link->Load.KeyEpoch == 0)
    return false;
  const bool Serves = Link->Load.State == WorkerState::Serving ||
                      Link->Load.State == WorkerState::Warming;
  return Serves && !Entry.View.InForce->DomainsOut.contains(Host.Domain);
}

/** Class, workspace and key of a call. */
KeyName keyNameOf(const Call &ActiveCall) {
  return {ActiveCall.Received.Class, ActiveCall.Received.Workspace,
          ActiveCall.Received.Key};
}

} // namespace

bool isKeyed(const EntryState &Entry, const Call &ActiveCall) {
  if (!Entry.View.InForce)
    return !ActiveCall.Received.Key.Value.empty();
  const WorkClass *Class =
      findClass(*Entry.View.InForce, ActiveCall.Received.Class);
  return Class != nullptr && !Class->Repeatable;
}

HostName homeOfCall(const EntryState &Entry, const Call &ActiveCall) {
  const auto Token =
      outcomeOf([&] { return readToken(ActiveCall.Received.Token); });
  if (!Token.Value)
    return homeFromDocument(*Entry.View.InForce, keyNameOf(ActiveCall));
  return homeFromToken(*Token.Value, keyNameOf(ActiveCall)).Name;
}

std::string makeHomeToken(const EntryState &Entry, const ClassName &Class) {
  if (!Entry.View.InForce)
    return "";
  const Document &Doc = *Entry.View.InForce;
  const WorkClass *FoundClass = findClass(Doc, Class);
  if (FoundClass == nullptr || FoundClass->Repeatable)
    return "";
  std::vector<HostName> Names;
  for (const Worker *Host : workersOf(Doc, *FoundClass))
    if (mayBeHome(Entry, *Host))
      Names.push_back(Host->Name);
  // A token lists at most MaxTokenHomes workers; each token gets other ones.
  Names = rendezvousOrder(std::to_string(Entry.Counters.Calls), Names);
  Names.resize(std::min(Names.size(), MaxTokenHomes));
  HomeToken Token;
  Token.Class = Class;
  // A home that has refused a key compares tokens by their text. A new token
  // with the same text would be refused too until it expires.
  Token.Serial = Entry.Fleet.Self.Run.Value + Entry.Counters.Calls;
  for (const HostName &Name : Names) {
    const PeerLink *Link = readyLink(Entry.Fleet, Name);
    Token.Homes.push_back({Name, Link->Peer.Run, Link->Load.KeyEpoch});
  }
  return Token.Homes.empty() ? "" : writeToken(Token);
}

bool isTokenAcceptable(const std::string &Token, const ClassName &Class) {
  if (Token.empty())
    return true;
  const auto Read = outcomeOf([&] { return readToken(Token); });
  return Read.Value && Read.Value->Class == Class;
}

Ran executionToReport(const EntryState &Entry, const Call &ActiveCall,
                      const Failure &Why, Ran Executed) {
  // The key identifies the request. Only the home knows whether an earlier call
  // with the key, sent through another entry, ran.
  const bool IsUnconfirmed =
      Executed == Ran::No && !ActiveCall.HomeConfirmedNotRun &&
      Why.Kind != ErrorKind::BadRequest && Why.Kind != ErrorKind::NotFound;
  return IsUnconfirmed && isKeyed(Entry, ActiveCall) ? Ran::Unknown : Executed;
}

} // namespace jacinthpond
