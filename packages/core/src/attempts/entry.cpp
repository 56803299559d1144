/** @file entry.cpp Decisions of an entry host. */

#include "attempts/entry_func.h"

#include "admission/quarantine_func.h"
#include "attempts/call_func.h"
#include "attempts/keyed_call_func.h"
#include "base/overloaded.h"
#include "configuration/config_spread_func.h"
#include "configuration/config_view_func.h"
#include "configuration/document_func.h"
#include "configuration/reader_rank_func.h"
#include "membership/departure_func.h"
#include "membership/join_func.h"
#include "membership/link_subset_func.h"
#include "membership/membership_func.h"
#include "membership/pause_func.h"
#include "membership/roster_func.h"
#include "routing/load_view_func.h"
#include "routing/retry_budget_func.h"

#include <algorithm>

namespace jacinthpond {

namespace {

/** Longest wait for a home that is asked about a booking. */
constexpr Millis LongestAsking{1000};

/** Keeps links to the agents and entries that the document calls for. */
void followDocument(EntryState &Entry, TimePoint Now, Effects &Out) {
  std::vector<PeerAddress> Peers;
  if (!viewIsFresh(Entry.Fleet))
    Peers = seedPeers(Entry.Config);
  const std::vector<PeerAddress> Published = linkSubset(
      *Entry.View.InForce, knownEntries(Entry.View.InForce.get(), Entry.Fleet),
      Entry.Fleet.Self);
  Peers.insert(Peers.end(), Published.begin(), Published.end());
  for (const LinkId Link : wantPeers(Entry.Fleet, Peers, Out))
    attemptsLost(Entry, Link, Now);
}

/** Ends what was open before a pause. */
void noticePause(EntryState &Entry, TimePoint Now, Effects &Out) {
  for (const LinkId Link : dropLinksAfterPause(Entry.Fleet, Now, Out))
    attemptsLost(Entry, Link, Now);
}

/** Notes that the configuration service was lost or is back. */
void noteService(const EntryState &Entry, const Outcome<std::string> &Read,
                 TimePoint Now, Effects &Out) {
  const Join &Joining = Entry.Fleet.Joining;
  const bool WasLost = Joining.ReadFailures > 0;
  if (Read.Value.has_value() == !WasLost)
    return;
  const std::string Silent =
      Joining.ServiceHeard
          ? std::to_string(toMillis(Now - *Joining.ServiceHeard).count())
          : "-";
  const std::string Version = std::to_string(versionInForce(Entry.View).Value);
  if (!Read.Value)
    Out.push_back(LogNote{LogPart::Config, LogLevel::Warn,
                          "event=dependency_lost name=configuration_service "
                          "why=\"" +
                              Read.Why.Detail + "\" silent_ms=" + Silent +
                              " version=" + Version});
  else
    Out.push_back(LogNote{LogPart::Config, LogLevel::Info,
                          "event=dependency_back name=configuration_service "
                          "failures=" +
                              std::to_string(Joining.ReadFailures) +
                              " silent_ms=" + Silent + " version=" + Version});
}

/** Gives the peer of a link that was asked for and never came about. */
std::optional<HostName> peerOpening(const Membership &Fleet, LinkId Link) {
  const auto it = Fleet.Links.find(Link);
  if (it == Fleet.Links.end() || it->second.State != LinkState::Opening)
    return std::nullopt;
  const auto Peer = std::ranges::find_if(
      Fleet.Wanted, [&](const auto &Row) { return Row.second.Link == Link; });
  if (Peer == Fleet.Wanted.end())
    return std::nullopt;
  return Peer->first;
}

/**
 * Says whether the home of a booking that is refused for leaving is asked about
 * it. The entry alone cannot know whether an earlier try of the key ran, and
 * would leave the caller with a booking to look up. Without a token the home
 * would bar the key for seconds, and the caller could not go on elsewhere.
 */
bool mayAskHome(const EntryState &Entry, const CallRequest &Asked,
                TimePoint Now) {
  if (Now >= Entry.AskHomesUntil || !Entry.View.InForce ||
      !viewIsFresh(Entry.Fleet))
    return false;
  const WorkClass *Class = findClass(*Entry.View.InForce, Asked.Class);
  return Class != nullptr && !Class->Repeatable && !Asked.Key.Value.empty() &&
         !Asked.Token.empty() && tokenFits(Asked.Token, Asked.Class);
}

} // namespace

EntryState makeEntry(const Settings &Config, Incarnation Run, TimePoint Now) {
  EntryState Entry;
  Entry.Config = Config;
  Entry.Fleet = makeMembership(Config, Role::Entry, Run, Now);
  Effects None;
  wantPeers(Entry.Fleet, seedPeers(Config), None);
  return Entry;
}

void entryCall(EntryState &Entry, const CallRequest &Asked, TimePoint Now,
               Effects &Out) {
  noticePause(Entry, Now, Out);
  ++Entry.Counters.Calls;
  Call One;
  One.Asked = Asked;
  One.Arrived = Now;
  Call &Kept = Entry.Calls[Asked.Call] = One;
  Kept.OnlyAsked = Entry.Stopping && mayAskHome(Entry, Asked, Now);
  if (Entry.Stopping && !Kept.OnlyAsked) {
    endCallWithError(Entry, Asked.Call, {ErrorKind::Leaving, "", {}}, Ran::No,
                     Out);
    return;
  }
  if (!Entry.View.InForce || !viewIsFresh(Entry.Fleet)) {
    endCallWithError(Entry, Asked.Call, {ErrorKind::StaleView, "", {}}, Ran::No,
                     Out);
    return;
  }
  const WorkClass *Class = findClass(*Entry.View.InForce, Asked.Class);
  if (Class == nullptr) {
    endCallWithError(Entry, Asked.Call,
                     {ErrorKind::NotFound, "class " + Asked.Class.Value, {}},
                     Ran::No, Out);
    return;
  }
  if (!Class->Repeatable && Asked.Key.Value.empty()) {
    endCallWithError(
        Entry, Asked.Call,
        {ErrorKind::BadRequest, "this class needs an Idempotency-Key", {}},
        Ran::No, Out);
    return;
  }
  if (!Class->Repeatable && !tokenFits(Asked.Token, Asked.Class)) {
    endCallWithError(
        Entry, Asked.Call,
        {ErrorKind::BadRequest, "X-Home-Token is cut or of another class", {}},
        Ran::No, Out);
    return;
  }
  // Only a key that its home watches over is passed on.
  if (Class->Repeatable)
    Kept.Asked.Key = IdempotencyKey{};
  earnRetry(Entry.Retries, Asked.Class, Asked.Tenant, Now);
  const Millis Longest = Class->Deadline;
  const Millis Wanted =
      Asked.Deadline.count() > 0 ? std::min(Asked.Deadline, Longest) : Longest;
  Kept.Deadline = Now + Wanted;
  if (Kept.OnlyAsked)
    Kept.Deadline = std::min(
        {Kept.Deadline, Now + Duration(LongestAsking), Entry.AskHomesUntil});
  startAttempt(Entry, Kept, Now, Out);
}

void entryCallGone(EntryState &Entry, CallId Gone, Effects &Out) {
  const auto it = Entry.Calls.find(Gone);
  if (it == Entry.Calls.end())
    return;
  const OpenAttempt &Attempt = it->second.Attempt;
  if (!Attempt.Id.Value.empty())
    Out.push_back(SendMessage{Attempt.Link, AttemptCancel{Attempt.Id}});
  Effects Unheard; // The caller is gone: its error has nowhere to go.
  endCallWithError(Entry, Gone, {ErrorKind::OutcomeUnknown, "caller gone", {}},
                   Ran::Unknown, Unheard);
}

void entryLinkOpened(EntryState &Entry, LinkId Link, TimePoint Now,
                     Effects &Out) {
  linkOpened(Entry.Fleet, Link, Now, Out);
}

void entryLinkClosed(EntryState &Entry, LinkId Link, TimePoint Now,
                     Effects &Out) {
  const std::optional<HostName> Refused = peerOpening(Entry.Fleet, Link);
  noteLinkLost(Entry.Fleet, Link, Now, Out);
  linkClosed(Entry.Fleet, Link, Now);
  attemptsLost(Entry, Link, Now);
  if (Refused)
    agentUnreachable(Entry, *Refused, Now, Out);
}

void entryMessage(EntryState &Entry, LinkId Link, const Message &m,
                  TimePoint Now, Effects &Out) {
  noticePause(Entry, Now, Out);
  if (!linkHeard(Entry.Fleet, Link, Now))
    return;
  noteLoad(Entry.Fleet, Link, m, Now);
  const FleetNews News =
      fleetMessage(Entry.View, Entry.Fleet, Link, m, Now, Out);
  if (News == FleetNews::NewDocument ||
      (News == FleetNews::NewEntry && Entry.View.InForce))
    followDocument(Entry, Now, Out);
  if (std::holds_alternative<Hello>(m))
    tellSuspects(Entry.Suspects, Link, Now, Out);
  if (const auto *Peer = std::get_if<Hello>(&m))
    askAfterAttempts(Entry, Peer->Name, Link, Now, Out);
  if (News != FleetNews::NotMine)
    return;
  std::visit(
      Overloaded{
          [&](const AttemptBegun &Begun) { attemptBegun(Entry, Begun, Out); },
          [&](const AnswerFrame &Frame) { frameArrived(Entry, Frame, Out); },
          [&](const AnswerEnd &End) { answerEnded(Entry, End, Now, Out); },
          [&](const AttemptFailed &Failed) {
            attemptFailed(Entry, Failed, Now, Out);
          },
          [&](const SuspectNotice &Notice) {
            if (noteSuspect(Entry.Suspects, Notice, Now))
              spreadNotice(Entry.Fleet, Notice, Role::Entry, Out);
          },
          [&](const AttemptStatus &Status) {
            attemptStatusHeard(Entry, Status, Now, Out);
          },
          [](const auto &) {
            // Meant for agents; an entry that gets one has nothing to do.
          }},
      m);
}

void entryConfigRead(EntryState &Entry, const Outcome<std::string> &Read,
                     TimePoint Began, TimePoint Now, Effects &Out) {
  noticePause(Entry, Now, Out);
  noteService(Entry, Read, Now, Out);
  if (!Read.Value || Read.Value->empty()) {
    readEnded(Entry.Fleet, Read.Value.has_value(), true, Began, Now);
    return;
  }
  const OfferResult Became =
      takeDocument(Entry.View, Entry.Fleet, *Read.Value, Now, Out);
  readEnded(Entry.Fleet, true,
            Became == OfferResult::Accepted || Became == OfferResult::Same,
            Began, Now);
  if (Became == OfferResult::Accepted)
    followDocument(Entry, Now, Out);
}

void entryHostsRead(EntryState &Entry, const std::vector<HostName> &Leaving,
                    TimePoint Now, Effects &Out) {
  noticePause(Entry, Now, Out);
  hostListRead(Entry.Fleet, Leaving, Now, Out);
}

void entryTick(EntryState &Entry, TimePoint Now, Effects &Out) {
  noticePause(Entry, Now, Out);
  const bool WasFresh = viewIsFresh(Entry.Fleet);
  for (const LinkId Link : fleetTick(Entry.View, Entry.Fleet, Now, Out)) {
    Out.push_back(
        LogNote{LogPart::Links, LogLevel::Warn,
                "Link " + std::to_string(Link.Value) + " is silent."});
    attemptsLost(Entry, Link, Now);
  }
  if (!WasFresh && viewIsFresh(Entry.Fleet)) // Seeds have done their work.
    followDocument(Entry, Now, Out);
  endLateCalls(Entry, Now, Out);
  forgetSuspects(Entry.Suspects, Now);
  endLostAttempts(Entry, Now, Out);
}

void entryStop(EntryState &Entry, TimePoint Now, Millis Asking, Effects &Out) {
  Entry.Stopping = true;
  Entry.AskHomesUntil = Now + Asking;
  Entry.Fleet.Leaving = true;
  sendHeartbeats(Entry.Fleet, Entry.View, Now, Out);
}

void entryCutOff(EntryState &Entry, Effects &Out) {
  std::vector<CallId> Open;
  Open.reserve(Entry.Calls.size());
  for (const auto &[Id, One] : Entry.Calls)
    Open.push_back(Id);
  for (const CallId Id : Open)
    endCallWithError(Entry, Id,
                     {ErrorKind::OutcomeUnknown, "shutdown took too long", {}},
                     Ran::Unknown, Out);
}

} // namespace jacinthpond
