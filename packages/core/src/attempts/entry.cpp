/** @file entry.cpp Event handlers of an entry. */

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
#include <cctype>

namespace jacinthpond {

namespace {

/** Longest wait for the home of a keyed call that a stopping entry refuses. */
constexpr Millis MaxHomeQueryTime{1000};

/**
 * Opens and closes links to match the document in force. Until the view is
 * fresh, the seed peers of the settings are kept too.
 */
void updateWantedPeers(EntryState &Entry, TimePoint Now, Effects &Out) {
  std::vector<PeerAddress> Peers;
  if (!isViewFresh(Entry.Fleet))
    Peers = seedPeers(Entry.Config);
  const std::vector<PeerAddress> Published = linkSubset(
      *Entry.View.InForce, knownEntries(Entry.View.InForce.get(), Entry.Fleet),
      Entry.Fleet.Self);
  Peers.insert(Peers.end(), Published.begin(), Published.end());
  for (const LinkId Link : setWantedPeers(Entry.Fleet, Peers, Out))
    markAttemptsLost(Entry, Link, Now);
}

/**
 * Drops all links when this process was paused, and marks their attempts as
 * lost.
 */
void handlePause(EntryState &Entry, TimePoint Now, Effects &Out) {
  for (const LinkId Link : dropLinksAfterPause(Entry.Fleet, Now, Out))
    markAttemptsLost(Entry, Link, Now);
}

/** Makes a text from elsewhere fit between the quotes of a log field. */
std::string logText(const std::string &Text) {
  constexpr size_t Longest = 200;
  std::string Value = Text.substr(0, Longest);
  std::ranges::replace_if(
      Value, [](unsigned char c) { return std::iscntrl(c); }, ' ');
  std::ranges::replace(Value, '"', '\'');
  return Value;
}

/** Logs that the configuration service was lost or is back. */
void logConfigServiceChange(const EntryState &Entry,
                            const Outcome<std::string> &Read, TimePoint Now,
                            Effects &Out) {
  const Join &Joining = Entry.Fleet.Joining;
  const bool WasLost = Joining.ReadFailures > 0;
  if (Read.Value.has_value() == !WasLost)
    return;
  const std::string SilentMillis =
      Joining.LastServiceAnswerAt
          ? std::to_string(toMillis(Now - *Joining.LastServiceAnswerAt).count())
          : "-";
  const std::string Version = std::to_string(versionInForce(Entry.View).Value);
  if (!Read.Value)
    Out.push_back(LogNote{LogPart::Config, LogLevel::Warn,
                          "event=dependency_lost name=configuration_service "
                          "why=\"" +
                              Read.Why.Detail + "\" silent_ms=" + SilentMillis +
                              " version=" + Version});
  else
    Out.push_back(LogNote{LogPart::Config, LogLevel::Info,
                          "event=dependency_back name=configuration_service "
                          "failures=" +
                              std::to_string(Joining.ReadFailures) +
                              " silent_ms=" + SilentMillis +
                              " version=" + Version});
}

/** Finds the peer of a link that is still being opened; nothing for other
 * links. */
std::optional<HostName> peerOfOpeningLink(const Membership &Fleet,
                                          LinkId Link) {
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
 * Says whether a stopping entry may ask the home about a keyed call that it
 * refuses. The entry alone cannot know whether an earlier call with the key
 * ran, and would have to report "unknown". Without a token the home would
 * refuse the key for seconds, and the caller could not continue at another
 * entry.
 */
bool mayQueryHome(const EntryState &Entry, const CallRequest &Request,
                  TimePoint Now) {
  if (Now >= Entry.HomeQueriesUntil || !Entry.View.InForce ||
      !isViewFresh(Entry.Fleet))
    return false;
  const WorkClass *Class = findClass(*Entry.View.InForce, Request.Class);
  return Class != nullptr && !Class->Repeatable && !Request.Key.Value.empty() &&
         !Request.Token.empty() &&
         isTokenAcceptable(Request.Token, Request.Class);
}

} // namespace

EntryState makeEntry(const Settings &Config, Incarnation Run, TimePoint Now) {
  EntryState Entry;
  Entry.Config = Config;
  Entry.Fleet = makeMembership(Config, Role::Entry, Run, Now);
  Effects None;
  setWantedPeers(Entry.Fleet, seedPeers(Config), None);
  return Entry;
}

void startCall(EntryState &Entry, const CallRequest &Request, TimePoint Now,
               Effects &Out) {
  handlePause(Entry, Now, Out);
  ++Entry.Counters.Calls;
  Call ActiveCall;
  ActiveCall.Received = Request;
  ActiveCall.Arrived = Now;
  Call &Current = Entry.Calls[Request.Call] = ActiveCall;
  Current.QueryOnly = Entry.Stopping && mayQueryHome(Entry, Request, Now);
  if (Entry.Stopping && !Current.QueryOnly) {
    endCallWithError(Entry, Request.Call, {ErrorKind::Leaving, "", {}}, Ran::No,
                     Out);
    return;
  }
  if (!Entry.View.InForce || !isViewFresh(Entry.Fleet)) {
    endCallWithError(Entry, Request.Call, {ErrorKind::StaleView, "", {}},
                     Ran::No, Out);
    return;
  }
  const WorkClass *Class = findClass(*Entry.View.InForce, Request.Class);
  if (Class == nullptr) {
    endCallWithError(Entry, Request.Call,
                     {ErrorKind::NotFound, "class " + Request.Class.Value, {}},
                     Ran::No, Out);
    return;
  }
  if (!Class->Repeatable && Request.Key.Value.empty()) {
    endCallWithError(
        Entry, Request.Call,
        {ErrorKind::BadRequest, "this class needs an Idempotency-Key", {}},
        Ran::No, Out);
    return;
  }
  if (!Class->Repeatable && !isTokenAcceptable(Request.Token, Request.Class)) {
    endCallWithError(
        Entry, Request.Call,
        {ErrorKind::BadRequest, "X-Home-Token is cut or of another class", {}},
        Ran::No, Out);
    return;
  }
  // Keys of repeatable classes have no home and are not passed on.
  if (Class->Repeatable)
    Current.Received.Key = IdempotencyKey{};
  creditFirstAttempt(Entry.Retries, Request.Class, Request.Workspace, Now);
  const Millis Longest = Class->Deadline;
  const Millis Wanted = Request.Deadline.count() > 0
                            ? std::min(Request.Deadline, Longest)
                            : Longest;
  Current.Deadline = Now + Wanted;
  if (Current.QueryOnly)
    Current.Deadline =
        std::min({Current.Deadline, Now + Duration(MaxHomeQueryTime),
                  Entry.HomeQueriesUntil});
  startAttempt(Entry, Current, Now, Out);
}

void cancelCall(EntryState &Entry, CallId Abandoned, Effects &Out) {
  const auto it = Entry.Calls.find(Abandoned);
  if (it == Entry.Calls.end())
    return;
  const OpenAttempt &Attempt = it->second.Attempt;
  if (!Attempt.Id.Value.empty())
    Out.push_back(SendMessage{Attempt.Link, AttemptCancel{Attempt.Id}});
  Effects Discarded; // The caller is gone and cannot receive the error.
  endCallWithError(Entry, Abandoned,
                   {ErrorKind::OutcomeUnknown, "caller gone", {}}, Ran::Unknown,
                   Discarded);
}

void handleEntryLinkOpened(EntryState &Entry, LinkId Link, TimePoint Now,
                           Effects &Out) {
  handleLinkOpened(Entry.Fleet, Link, Now, Out);
}

void handleEntryLinkClosed(EntryState &Entry, LinkId Link, TimePoint Now,
                           Effects &Out) {
  const std::optional<HostName> Refused = peerOfOpeningLink(Entry.Fleet, Link);
  logLinkLost(Entry.Fleet, Link, Now, Out);
  handleLinkClosed(Entry.Fleet, Link, Now);
  markAttemptsLost(Entry, Link, Now);
  if (Refused)
    handleAgentUnreachable(Entry, *Refused, Now, Out);
}

void handleEntryMessage(EntryState &Entry, LinkId Link, const Message &m,
                        TimePoint Now, Effects &Out) {
  handlePause(Entry, Now, Out);
  if (!recordLinkActivity(Entry.Fleet, Link, Now))
    return;
  recordReportedLoad(Entry.Fleet, Link, m, Now);
  const FleetMessageResult MessageResult =
      handleFleetMessage(Entry.View, Entry.Fleet, Link, m, Now, Out);
  if (MessageResult == FleetMessageResult::NewDocument ||
      (MessageResult == FleetMessageResult::NewEntry && Entry.View.InForce))
    updateWantedPeers(Entry, Now, Out);
  if (std::holds_alternative<Hello>(m))
    sendSuspects(Entry.Suspects, Link, Now, Out);
  if (const auto *Peer = std::get_if<Hello>(&m))
    handleAgentReached(Entry, Peer->Name, Link, Now, Out);
  if (MessageResult != FleetMessageResult::Unrelated)
    return;
  std::visit(Overloaded{[&](const AttemptStarted &Begun) {
                          handleAttemptStarted(Entry, Begun, Out);
                        },
                        [&](const AnswerFrame &Frame) {
                          handleAnswerFrame(Entry, Frame, Out);
                        },
                        [&](const AnswerEnd &End) {
                          handleAnswerEnd(Entry, End, Now, Out);
                        },
                        [&](const AttemptFailed &Failed) {
                          handleAttemptFailed(Entry, Failed, Now, Out);
                        },
                        [&](const SuspectNotice &Notice) {
                          if (applySuspectNotice(Entry.Suspects, Notice, Now))
                            broadcastNotice(Entry.Fleet, Notice, Role::Entry,
                                            Out);
                        },
                        [&](const AttemptStatus &Status) {
                          handleAttemptStatus(Entry, Status, Now, Out);
                        },
                        [](const auto &) {
                          // Messages for agents are ignored.
                        }},
             m);
}

void handleEntryConfigRead(EntryState &Entry, const Outcome<std::string> &Read,
                           TimePoint Began, TimePoint Now, Effects &Out) {
  handlePause(Entry, Now, Out);
  logConfigServiceChange(Entry, Read, Now, Out);
  if (!Read.Value || Read.Value->empty()) {
    recordReadResult(Entry.Fleet, Read.Value.has_value(), true, Began, Now);
    return;
  }
  const OfferResult Offer = applyDocument(Entry.View, Entry.Fleet, *Read.Value,
                                          DocumentSource::Service, Now, Out);
  recordReadResult(Entry.Fleet, true,
                   Offer == OfferResult::Accepted || Offer == OfferResult::Same,
                   Began, Now);
  if (Offer == OfferResult::Accepted)
    updateWantedPeers(Entry, Now, Out);
}

void recordLeftOutParts(EntryState &Entry, const LeftOutParts &Parts,
                        Effects &Out) {
  // Another writer may change its item all the time: one line for each key.
  const auto WasListed = [&](const LeftOutPart &One) {
    return std::ranges::find(Entry.LeftOut.First, One.Where,
                             &LeftOutPart::Where) != Entry.LeftOut.First.end();
  };
  for (const LeftOutPart &One : Parts.First)
    if (!WasListed(One))
      Out.push_back(LogNote{LogPart::Config, LogLevel::Warn,
                            "event=config_part_left_out part=\"" +
                                logText(One.Where) + "\" why=\"" +
                                logText(One.Why) +
                                "\" all=" + std::to_string(Parts.Count)});
  Entry.LeftOut = Parts;
}

void handleEntryHostList(EntryState &Entry,
                         const std::vector<HostName> &Leaving, TimePoint Now,
                         Effects &Out) {
  handlePause(Entry, Now, Out);
  handleHostList(Entry.Fleet, Leaving, Now, Out);
}

void handleEntryTick(EntryState &Entry, TimePoint Now, Effects &Out) {
  handlePause(Entry, Now, Out);
  const bool WasFresh = isViewFresh(Entry.Fleet);
  for (const LinkId Link : tickFleet(Entry.View, Entry.Fleet, Now, Out)) {
    Out.push_back(LogNote{LogPart::Links, LogLevel::Warn,
                          "Link " + std::to_string(Link.Value) +
                              " timed out: nothing was received."});
    markAttemptsLost(Entry, Link, Now);
  }
  if (!WasFresh && isViewFresh(Entry.Fleet)) // Drops the seed peers.
    updateWantedPeers(Entry, Now, Out);
  endExpiredCalls(Entry, Now, Out);
  dropExpiredSuspects(Entry.Suspects, Now);
  expireLostAttempts(Entry, Now, Out);
}

void beginEntryShutdown(EntryState &Entry, TimePoint Now, Millis HomeQueryTime,
                        Effects &Out) {
  Entry.Stopping = true;
  Entry.HomeQueriesUntil = Now + HomeQueryTime;
  Entry.Fleet.Leaving = true;
  sendHeartbeats(Entry.Fleet, Entry.View, Now, Out);
}

void endAllCalls(EntryState &Entry, Effects &Out) {
  std::vector<CallId> Open;
  Open.reserve(Entry.Calls.size());
  for (const auto &[Id, ActiveCall] : Entry.Calls)
    Open.push_back(Id);
  for (const CallId Id : Open)
    endCallWithError(Entry, Id,
                     {ErrorKind::OutcomeUnknown, "shutdown took too long", {}},
                     Ran::Unknown, Out);
}

} // namespace jacinthpond
