/** @file keyed_call.cpp Non-repeatable calls at an entry: homes, tokens. */

#include "attempts/keyed_call_func.h"

#include "attempts/home_token_func.h"
#include "base/hash_func.h"
#include "configuration/document_func.h"
#include "membership/membership_func.h"

#include <algorithm>
#include <vector>

namespace jacinthpond {

namespace {

/** True when a worker may be named as a home in a new token. */
bool mayBeHome(const EntryState &Entry, const Worker &Host) {
  const PeerLink *Link = readyLink(Entry.Fleet, Host.Name);
  if (Link == nullptr || Link->Leaving || Link->Load.KeyEpoch == 0)
    return false;
  const bool Serves = Link->Load.State == WorkerState::Serving ||
                      Link->Load.State == WorkerState::Warming;
  return Serves && !Entry.View.InForce->DomainsOut.contains(Host.Domain);
}

KeyName nameOf(const Call &One) {
  return {One.Asked.Class, One.Asked.Tenant, One.Asked.Key};
}

} // namespace

bool isKeyed(const EntryState &Entry, const Call &One) {
  if (!Entry.View.InForce)
    return !One.Asked.Key.Value.empty();
  const WorkClass *Class = findClass(*Entry.View.InForce, One.Asked.Class);
  return Class != nullptr && !Class->Repeatable;
}

HostName homeOfCall(const EntryState &Entry, const Call &One) {
  const auto Token = outcomeOf([&] { return readToken(One.Asked.Token); });
  if (!Token.Value)
    return homeByList(*Entry.View.InForce, nameOf(One));
  return homeInToken(*Token.Value, nameOf(One)).Name;
}

std::string makeHomeToken(const EntryState &Entry, const ClassName &Class) {
  if (!Entry.View.InForce)
    return "";
  const Document &Doc = *Entry.View.InForce;
  const WorkClass *Row = findClass(Doc, Class);
  if (Row == nullptr || Row->Repeatable)
    return "";
  std::vector<HostName> Names;
  for (const Worker *Host : workersOf(Doc, *Row))
    if (mayBeHome(Entry, *Host))
      Names.push_back(Host->Name);
  // A class may have more workers than a token names: tokens differ in which.
  Names = rendezvousOrder(std::to_string(Entry.Counters.Calls), Names);
  Names.resize(std::min(Names.size(), MaxTokenHomes));
  HomeToken Token;
  Token.Class = Class;
  // A home that refused a key tells tokens apart by their texts. One of equal
  // text in place of the refused one would be refused for as long as it lasts.
  Token.Serial = Entry.Fleet.Self.Run.Value + Entry.Counters.Calls;
  for (const HostName &Name : Names) {
    const PeerLink *Link = readyLink(Entry.Fleet, Name);
    Token.Homes.push_back({Name, Link->Peer.Run, Link->Load.KeyEpoch});
  }
  return Token.Homes.empty() ? "" : writeToken(Token);
}

bool tokenFits(const std::string &Token, const ClassName &Class) {
  if (Token.empty())
    return true;
  const auto Read = outcomeOf([&] { return readToken(Token); });
  return Read.Value && Read.Value->Class == Class;
}

Ran ranOfKey(const EntryState &Entry, const Call &One, const Failure &Why,
             Ran Executed) {
  // What a caller calls its request is the key. An entry cannot know whether
  // an earlier try, sent through another entry, ran; only the home can.
  const bool Guess = Executed == Ran::No && !One.HomeSaidNo &&
                     Why.Kind != ErrorKind::BadRequest &&
                     Why.Kind != ErrorKind::NotFound;
  return Guess && isKeyed(Entry, One) ? Ran::Unknown : Executed;
}

} // namespace jacinthpond
