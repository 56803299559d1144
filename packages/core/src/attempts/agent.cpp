/** @file agent.cpp Decisions of the agent beside one back end. */

#include "attempts/agent_func.h"

#include "admission/admission_func.h"
#include "admission/quarantine_func.h"
#include "admission/server_rate_func.h"
#include "admission/token_pace_func.h"
#include "attempts/attempt_func.h"
#include "attempts/back_end_death_func.h"
#include "attempts/chunk_list_func.h"
#include "attempts/idempotency_func.h"
#include "attempts/keyed_attempt_func.h"
#include "attempts/place_func.h"
#include "base/overloaded.h"
#include "base/rate_limit_func.h"
#include "configuration/config_spread_func.h"
#include "configuration/config_view_func.h"
#include "configuration/document_func.h"
#include "membership/departure_func.h"
#include "membership/join_func.h"
#include "membership/membership_func.h"
#include "membership/pause_func.h"
#include "membership/roster_func.h"
#include "routing/load_view_func.h"
#include "settings/settings_func.h"
#include "weights/rollout_func.h"
#include "weights/transfer_func.h"
#include "weights/upload_func.h"
#include "weights/weights_func.h"

#include <algorithm>
#include <utility>

namespace jacinthpond {

namespace {

/** Requests beyond its slots that a back end is given, so that the next one is
 * there when one ends; it would stand idle for the way from an entry. */
constexpr uint32_t SlotsAhead = 1;
/** Gap between two ticks that shows that this process was paused. */
constexpr Millis LongestTickGap{250};

/** Works out how far the back end is from serving. */
WorkerState stateOf(const AgentState &Agent) {
  if (agentIsLeaving(Agent))
    return WorkerState::Leaving;
  const bool Model = !Agent.Config.EngineUrl.empty();
  if (!Agent.BackEndUp)
    return WorkerState::Empty;
  if (Model && !mayServe(Agent.Weights))
    return Agent.Weights.Wanted.Chunks.empty() ? WorkerState::Empty
                                               : WorkerState::Loading;
  return Agent.Gate.Limit < Agent.Gate.Limits.Warm ? WorkerState::Warming
                                                   : WorkerState::Serving;
}

WorkerLoad loadOf(const AgentState &Agent) {
  WorkerLoad Load;
  Load.State = stateOf(Agent);
  Load.Running = Agent.Gate.Running + Agent.Gate.Lingering;
  Load.Waiting = static_cast<uint32_t>(waitingAttempts(Agent.Gate).size());
  Load.Limit = Agent.Gate.Limit;
  Load.PerSecond = Agent.Rate.PerSecond;
  Load.KeyEpoch = Agent.Keys.Epoch;
  Load.Weights = Agent.Weights.Loaded;
  describeTransfer(Agent.Transfer, Load);
  return Load;
}

/** Brings the load that heartbeats tell up to date. */
void refreshLoad(AgentState &Agent) { Agent.Fleet.Load = loadOf(Agent); }

/** Tells peers at once when the state of the back end changed. */
void announceChange(AgentState &Agent, TimePoint Now, Effects &Out) {
  const WorkerState Before = Agent.Fleet.Load.State;
  const Digest Weights = Agent.Fleet.Load.Weights;
  const std::optional<double> PerSecond = Agent.Fleet.Load.PerSecond;
  refreshLoad(Agent);
  // Entries that believe in room where there is none let requests wait in one
  // queue while another worker stands idle.
  const uint32_t Work = Agent.Fleet.Load.Running + Agent.Fleet.Load.Waiting;
  const bool Moved = Work != Agent.ToldWork && !runsOnStore(Agent.Config) &&
                     mayBeatEarly(Agent.Fleet, Now);
  if (Moved)
    Agent.ToldWork = Work;
  if (Moved || Agent.Fleet.Load.State != Before ||
      Agent.Fleet.Load.Weights != Weights ||
      Agent.Fleet.Load.PerSecond != PerSecond)
    sendHeartbeats(Agent.Fleet, Agent.View, Now, Out);
}

/** A listed back end says itself how much it works on at a time, and how long
 * it is still cold. */
void followSlots(AgentState &Agent, const Document &Doc, TimePoint Now) {
  const std::string &Self = Agent.Fleet.Self.Name.Value;
  const auto it =
      std::ranges::find_if(Doc.Servers, [&](const BackEndServer &One) {
        return One.At.Value == Self;
      });
  if (it == Doc.Servers.end() || it->Slots == 0)
    return;
  const auto Kind =
      std::ranges::find(Doc.Services, it->Service, &Service::Name);
  if (Kind != Doc.Services.end())
    Agent.Reading.TokensPerSecond = Kind->ReadPerSecond;
  if (it->Id != Agent.Listed.Id || it->ColdFor != Agent.Listed.ColdFor) {
    Agent.ColdUntil = Now + it->ColdFor;
    Agent.Cold = {};
  }
  if (Kind != Doc.Services.end() && Kind->ColdPerSecond > 0)
    Agent.Cold.PerSecond = Kind->ColdPerSecond;
  else
    Agent.Cold.PerSecond.reset();
  Agent.Listed = *it;
  const uint32_t Bears = it->Slots + SlotsAhead;
  // Both: the limits of a cold start in the settings may be the same by chance.
  if (Agent.Gate.Limits.Warm == Bears && Agent.Gate.Limits.Cold == Bears)
    return;
  // Its cold start is bounded by a rate.
  Agent.Gate.Limits.Warm = Agent.Gate.Limits.Cold = Bears;
  Agent.Gate.Limit = Bears;
}

/** Takes what the document says of this host. */
void followDocument(AgentState &Agent, TimePoint Now, Effects &Out) {
  const Document &Doc = *Agent.View.InForce;
  const Worker *Self = findWorker(Doc, Agent.Fleet.Self.Name);
  if (Self != nullptr && !Self->Model.Value.empty()) {
    const ModelVersion *Wanted = findModel(Doc, Self->Model);
    if (Wanted != nullptr)
      noteNewest(Agent.Weights, Wanted->Set,
                 Agent.View.PublishedAfter.value_or(Now));
    if (Wanted != nullptr && !Wanted->Origin.Value.empty())
      followVersion(Agent, *Wanted, Now, Out);
    else if (Wanted != nullptr)
      wantWeights(Agent.Weights, *Wanted);
    planTransfer(Agent.Transfer, Agent.Weights, Doc, Self->Name, Now);
    followSlots(Agent, Doc, Now);
    for (const LinkId Link : followPeers(Agent, Out))
      agentLinkClosed(Agent, Link, Now);
  }
  if (Doc.DomainsOut.contains(Agent.Fleet.Self.Domain))
    refuseWaiting(Agent, ErrorKind::DomainOut, Out);
  moveChunks(Agent.Transfer, Agent.Weights, Now, Out);
}

/** Lets an agent that said hello take part in the exchange of chunks. */
void notePartner(AgentState &Agent, LinkId Link) {
  const auto it = Agent.Fleet.Links.find(Link);
  if (it == Agent.Fleet.Links.end() || it->second.Peer.Sender != Role::Agent)
    return;
  chunkPeerReady(Agent.Transfer, Link, it->second.Peer.Name,
                 it->second.Peer.Domain == Agent.Fleet.Self.Domain);
}

/** Turns cold when most answers have stopped coming. */
void noteStalls(AgentState &Agent, TimePoint Now, Effects &Out) {
  if (Now - Agent.Fleet.LastTick > LongestTickGap)
    return;
  if (!mostAnswersStall(Agent, Now) ||
      Agent.Gate.Limit <= Agent.Gate.Limits.Cold)
    return;
  turnCold(Agent.Gate);
  Out.push_back(LogNote{LogPart::Admission, LogLevel::Warn,
                        "Most answers stall: back end is cold."});
}

/** Watches the time between tokens for a back end that turned cold. */
void notePace(AgentState &Agent, Attempt &One, TimePoint Now, Effects &Out) {
  const bool First = One.LastToken == TimePoint{};
  const Duration Gap = Now - One.LastToken;
  // Slow tokens of all answers come at about the same time, and a tick just
  // after them finds no answer silent. The first of them comes while the others
  // still are.
  if (!First && farOverWarm(Agent.Gate.Pace, Gap))
    noteStalls(Agent, Now, Out);
  One.LastToken = Now;
  // After a pause of this process all gaps are long, whatever the back end
  // did; the missed ticks show it.
  if (First || Now - Agent.Fleet.LastTick > LongestTickGap)
    return;
  if (tokenCame(Agent.Gate, Gap))
    Out.push_back(LogNote{LogPart::Admission, LogLevel::Warn,
                          "Tokens come far too slowly: back end is cold."});
}

/**
 * Takes the rate limit that a report names. Where reports never name one, only
 * answers to requests tell that it was lifted.
 */
void noteReportedRate(AgentState &Agent, const EngineState &Read, TimePoint Now,
                      Effects &Out) {
  const bool NewRun = !Agent.BackEndRun.empty() && Read.Run != Agent.BackEndRun;
  if (NewRun && Agent.Rate.PerSecond) {
    Agent.Rate = {};
    noteRateChange(Agent, RateChange::Lifted, "restart", Out);
  }
  // This reading began after the one before had ended.
  const TimePoint Began = std::exchange(Agent.ReportedAt, Now);
  RateChange Change = RateChange::None;
  if (Read.PerSecond)
    Change = rateNamed(Agent.Rate, *Read.PerSecond, Now);
  else if (Agent.RateReported)
    Change = rateNotNamed(Agent.Rate, Began);
  Agent.RateReported =
      Read.PerSecond || (Agent.RateReported && !NewRun && Agent.Rate.PerSecond);
  noteRateChange(Agent, Change, "report", Out);
}

void answerPing(LinkId Link, const Ping &m, Effects &Out) {
  Out.push_back(SendMessage{Link, Pong{m.Sequence}});
}

/** True when the back end may have died in the middle of a run. */
bool brokeOff(const Outcome<EngineEnd> &End) {
  return !End.Value && (End.Why.Kind == ErrorKind::OutcomeUnknown ||
                        End.Why.Kind == ErrorKind::PartialAnswer);
}

/** Turns what is known of a run's end into what admission needs. */
RunEnd runEndOf(bool Whole, const Outcome<EngineEnd> &End) {
  if (Whole)
    return RunEnd::Whole;
  const bool NeverSent = !End.Value && End.Why.Kind == ErrorKind::Unreachable;
  return NeverSent || End.Value ? RunEnd::NotBegun : RunEnd::CutOff;
}

} // namespace

AgentState makeAgent(const Settings &Config, Incarnation Run, TimePoint Now) {
  AgentState Agent;
  Agent.Config = Config;
  Agent.Fleet = makeMembership(Config, Role::Agent, Run, Now);
  Agent.SpareRoomAt = Now;
  Agent.Gate.Limits = {static_cast<uint32_t>(Config.WarmLimit),
                       static_cast<uint32_t>(Config.ColdLimit),
                       static_cast<uint32_t>(Config.QueueLimit),
                       static_cast<uint32_t>(Config.WarmAfter)};
  turnCold(Agent.Gate);
  Effects None; // Links are opened with the first tick.
  wantPeers(Agent.Fleet, seedPeers(Config), None);
  Agent.Weights.AtEngine = runsOnStore(Config);
  Agent.Transfer = makeTransfer(Config);
  Agent.Keys = makeKeyBook(Now);
  Agent.Keys.Runs.insert(Run);
  return Agent;
}

void agentLinkOpened(AgentState &Agent, LinkId Link, TimePoint Now,
                     Effects &Out) {
  linkOpened(Agent.Fleet, Link, Now, Out);
}

void agentLinkClosed(AgentState &Agent, LinkId Link, TimePoint Now) {
  linkClosed(Agent.Fleet, Link, Now);
  chunkPeerGone(Agent.Transfer, Link, Now);
  detachAttempts(Agent, Link, Now);
  Effects None; // Nobody is left to be told.
  detachPlaces(Agent, Link, Now, None);
}

void agentNoticePause(AgentState &Agent, TimePoint Now, Effects &Out) {
  const std::vector<LinkId> Dropped =
      dropLinksAfterPause(Agent.Fleet, Now, Out);
  if (Dropped.empty())
    return;
  for (const LinkId Link : Dropped)
    agentLinkClosed(Agent, Link, Now);
  refuseWaiting(Agent, ErrorKind::StaleView, Out);
}

void agentMessage(AgentState &Agent, LinkId Link, const Message &m,
                  TimePoint Now, Effects &Out) {
  agentNoticePause(Agent, Now, Out);
  if (!linkHeard(Agent.Fleet, Link, Now))
    return;
  const DocumentPtr Before = Agent.View.InForce;
  const FleetNews News =
      fleetMessage(Agent.View, Agent.Fleet, Link, m, Now, Out);
  if (News == FleetNews::NewDocument) {
    keepPastList(Agent.Keys, Before, Now);
    followDocument(Agent, Now, Out);
    announceChange(Agent, Now, Out);
  }
  if (std::holds_alternative<Hello>(m)) {
    notePartner(Agent, Link);
    tellSuspects(Agent.Suspects, Link, Now, Out);
  }
  if (News != FleetNews::NotMine)
    return;
  std::visit(Overloaded{[&](const AttemptStart &Start) {
                          takeAttempt(Agent, Link, Start, Now, Out);
                        },
                        [&](const PlaceAsk &Ask) {
                          takePlaceAsk(Agent, Link, Ask, Now, Out);
                        },
                        [&](const PlaceDone &Done) {
                          placeDone(Agent, Done, Now, Out);
                          loadInTurn(Agent, Now, Out);
                        },
                        [&](const RateHeard &Heard) {
                          placeRateHeard(Agent, Heard, Now, Out);
                          announceChange(Agent, Now, Out);
                        },
                        [&](const AttemptCancel &Cancel) {
                          cancelAttempt(Agent, Cancel.Attempt, Now, Out);
                        },
                        [&](const ChunkHave &Have) {
                          chunkHaveHeard(Agent.Transfer, Link, Have, Now);
                          moveChunks(Agent.Transfer, Agent.Weights, Now, Out);
                        },
                        [&](const ChunkListTold &List) {
                          if (listTold(Agent, Link, List, Now, Out))
                            announceChange(Agent, Now, Out);
                        },
                        [&](const ChunkRequest &Asked) {
                          chunkRequested(Agent.Transfer, Agent.Weights, Link,
                                         Asked, Out);
                          serveUploads(Agent.Transfer, Agent.Weights, Now, Out);
                        },
                        [&](const SuspectNotice &Notice) {
                          agentSuspect(Agent, Notice, Now, Out);
                        },
                        [&](const AttemptQuery &Query) {
                          queryAttempt(Agent, Link, Query, Now, Out);
                        },
                        [&](const Ping &m) { answerPing(Link, m, Out); },
                        [](const auto &) {
                          // Meant for entries; an agent that gets one has
                          // nothing to do.
                        }},
             m);
}

void engineBegan(AgentState &Agent, const AttemptId &Which,
                 const Digest &Weights, Effects &Out) {
  const auto it = Agent.Attempts.find(Which);
  if (it == Agent.Attempts.end())
    return;
  // The engine may have restarted with other weights since they were read
  // back: nothing of such an answer may reach the caller.
  if (Weights != Agent.Weights.Loaded || Agent.Weights.Loading) {
    it->second.Cancelled = true;
    Out.push_back(CancelRun{Which});
    failAttempt(Agent, Which,
                {ErrorKind::WeightsNotReady, "engine uses other weights", {}},
                Ran::Yes, Out);
    return;
  }
  tellBegun(it->second, Weights, Out);
}

void engineToken(AgentState &Agent, const AttemptId &Which,
                 const std::string &Token, TimePoint Now, Effects &Out) {
  const auto it = Agent.Attempts.find(Which);
  if (it == Agent.Attempts.end())
    return;
  notePace(Agent, it->second, Now, Out);
  sendFrame(it->second, Token, Out);
}

void engineEnded(AgentState &Agent, const AttemptId &Which,
                 const Outcome<EngineEnd> &End, TimePoint Now, Effects &Out) {
  const auto it = Agent.Attempts.find(Which);
  const bool Known = it != Agent.Attempts.end();
  const bool Whole = Known && End.Value &&
                     End.Value->Count == nextFrame(it->second) &&
                     End.Value->Weights == it->second.Weights;
  runEnded(Agent.Gate, Which, runEndOf(Whole, End),
           Known ? Now - it->second.Began : Duration{0});
  if (Whole) {
    ranWhole(Agent, it->second, Now, Out);
    finishAttempt(Agent, Which, 200, Out);
  } else if (Known && !it->second.Cancelled && brokeOff(End)) {
    runBrokeOff(Agent, Which, End.Why, Now, Out);
  } else if (Known) {
    const bool NeverSent = End.Why.Kind == ErrorKind::Unreachable && !End.Value;
    Failure Why = End.Why;
    if (End.Value)
      Why = {ErrorKind::PartialAnswer, "engine's count differs", {}};
    failAttempt(Agent, Which, Why, NeverSent ? Ran::No : Ran::Unknown, Out);
  }
  runWaiting(Agent, Now, Out);
  loadInTurn(Agent, Now, Out);
  refreshLoad(Agent);
}

void serviceAnswered(AgentState &Agent, const AttemptId &Which,
                     const Outcome<ServiceAnswer> &Answer, TimePoint Now,
                     Effects &Out) {
  const auto it = Agent.Attempts.find(Which);
  // A plain service does not report what it runs, so that a run cut off here
  // cannot be waited for.
  runEnded(Agent.Gate, Which, Answer.Value ? RunEnd::Whole : RunEnd::NotBegun,
           it == Agent.Attempts.end() ? Duration{0} : Now - it->second.Began);
  if (it == Agent.Attempts.end())
    return;
  const AttemptStart Asked = it->second.Asked;
  if (Answer.Value) {
    sendFrame(it->second, Answer.Value->Body, Out);
    finishAttempt(Agent, Which, Answer.Value->Status, Out);
    keyAnswered(Agent, Asked, *Answer.Value, Out);
  } else {
    const bool NeverSent = Answer.Why.Kind == ErrorKind::Unreachable;
    failAttempt(Agent, Which, Answer.Why, NeverSent ? Ran::No : Ran::Unknown,
                Out);
  }
  runWaiting(Agent, Now, Out);
  refreshLoad(Agent);
}

void engineStateRead(AgentState &Agent, const Outcome<EngineState> &Read,
                     uint64_t OrdersEnded, TimePoint Now, Effects &Out) {
  // A reading that began before the last order ended tells of other weights.
  const bool Current = OrdersEnded == Agent.Weights.OrdersEnded &&
                       OrdersEnded == Agent.Weights.OrdersGiven;
  if (Read.Value && Current)
    Agent.Weights.Loading = false;
  if (Read.Value)
    Agent.Weights.EngineBusy = Read.Value->Busy;
  const std::string Run = Read.Value ? Read.Value->Run : "";
  const bool Restarted = Run != Agent.Weights.EngineRun;
  Agent.Weights.EngineRun = Run;
  if (Read.Value && !Agent.Weights.Loading) {
    const Digest Known = confirmedSet(Agent.Weights, Run, Read.Value->Weights);
    if (Agent.Weights.Loaded != Known)
      Out.push_back(LogNote{LogPart::Weights, LogLevel::Info,
                            "Engine has set " + Known.Value});
    noteLoaded(Agent.Weights, Known);
  }
  if (Agent.BackEndUp && !Read.Value)
    Out.push_back(LogNote{LogPart::Weights, LogLevel::Warn,
                          "Back end is silent: " + Read.Why.Detail});
  Agent.BackEndUp = Read.Value.has_value();
  if (Read.Value)
    noteReportedRate(Agent, *Read.Value, Now, Out);
  judgeBrokenRuns(Agent, Run, Now, Out);
  if (Restarted) {
    turnCold(Agent.Gate);
    refuseWaiting(Agent, ErrorKind::ColdStart, Out);
  }
  if (Read.Value)
    backEndReported(Agent.Gate, Read.Value->Running, Read.Value->Cold,
                    Restarted);
  runWaiting(Agent, Now, Out);
  loadInTurn(Agent, Now, Out);
  announceChange(Agent, Now, Out);
}

void servicePinged(AgentState &Agent, const Outcome<std::string> &Read,
                   TimePoint Now, Effects &Out) {
  Agent.BackEndUp = Read.Value.has_value();
  const std::string Run = Read.Value.value_or("");
  if (Run != Agent.ServiceRun)
    turnCold(Agent.Gate);
  Agent.ServiceRun = Run;
  announceChange(Agent, Now, Out);
}

void originAnswered(AgentState &Agent, const Digest &Chunk,
                    const CheckedChunk &Came, TimePoint Now, Effects &Out) {
  chunkFromOrigin(Agent.Transfer, Agent.Weights, Chunk, Came, Now, Out);
  moveChunks(Agent.Transfer, Agent.Weights, Now, Out);
  loadInTurn(Agent, Now, Out);
  refreshLoad(Agent);
}

void chunkListRead(AgentState &Agent, const ChunkRef &Version,
                   const Outcome<ChunkList> &Read, TimePoint Now,
                   Effects &Out) {
  if (listRead(Agent, Version, Read, Now, Out))
    announceChange(Agent, Now, Out);
}

void peerSentPart(AgentState &Agent, LinkId Link, const ChunkData &Data,
                  TimePoint Now, Effects &Out) {
  if (!linkHeard(Agent.Fleet, Link, Now))
    return;
  auto Whole = partFromPeer(Agent.Transfer, Link, Data, Now, Out);
  if (!Whole)
    return;
  ChunkBytes Bytes;
  if (!Whole->empty())
    Bytes = std::make_shared<const std::string>(std::move(*Whole));
  peerSentChunk(Agent, Link, Data.Chunk, checkChunk(std::move(Bytes)), Now,
                Out);
}

void agentStaged(AgentState &Agent, const ChunkRef &Chunk, bool Staged,
                 TimePoint Now, Effects &Out) {
  chunkStaged(Agent.Transfer, Agent.Weights, Chunk, Staged, Now);
  moveChunks(Agent.Transfer, Agent.Weights, Now, Out);
  loadInTurn(Agent, Now, Out);
  refreshLoad(Agent);
}

void agentSpoilt(AgentState &Agent, const Digest &Chunk, TimePoint Now,
                 Effects &Out) {
  Out.push_back(LogNote{LogPart::Weights, LogLevel::Warn,
                        "Staged chunk " + Chunk.Value +
                            " is damaged; it is fetched again."});
  chunkSpoilt(Agent.Transfer, Agent.Weights, Chunk);
  moveChunks(Agent.Transfer, Agent.Weights, Now, Out);
}

void peerSentChunk(AgentState &Agent, LinkId Link, const Digest &Chunk,
                   const CheckedChunk &Came, TimePoint Now, Effects &Out) {
  if (!linkHeard(Agent.Fleet, Link, Now))
    return;
  chunkFromPeer(Agent.Transfer, Agent.Weights, Link, Chunk, Came, Now, Out);
  moveChunks(Agent.Transfer, Agent.Weights, Now, Out);
  loadInTurn(Agent, Now, Out);
  refreshLoad(Agent);
}

void answerSent(AgentState &Agent, LinkId Link, uint64_t Bytes, TimePoint Now) {
  const auto it = Agent.Fleet.Links.find(Link);
  if (it != Agent.Fleet.Links.end() &&
      it->second.Peer.Domain != Agent.Fleet.Self.Domain)
    rateYield(Agent.Transfer.Across, Bytes, Now);
}

void linkBacklog(AgentState &Agent, LinkId Link, uint64_t Bytes) {
  const auto it = Agent.Transfer.Peers.find(Link);
  if (it != Agent.Transfer.Peers.end())
    it->second.BacklogBytes = Bytes;
}

void loadEnded(AgentState &Agent, const std::optional<Failure> &Why,
               TimePoint Now, Effects &Out) {
  const bool Unknown = Why && Why->Kind == ErrorKind::OutcomeUnknown;
  orderEnded(Agent.Weights, !Why, Now);
  if (!Why)
    orderConfirmed(Agent.Weights);
  else if (Unknown)
    orderUnconfirmed(Agent.Weights);
  turnCold(Agent.Gate);
  if (Why)
    Out.push_back(
        LogNote{LogPart::Weights, LogLevel::Warn,
                "Load order failed: " + Why->Detail +
                    " event=load_failed set=" + Agent.Weights.Ordered.Value +
                    " may_be_loaded=" + (Unknown ? "yes" : "no")});
}

void tellLoad(const AgentState &Agent, Effects &Out) {
  stampLoad(loadOf(Agent), Out);
}

void agentTick(AgentState &Agent, TimePoint Now, Effects &Out) {
  noteStalls(Agent, Now, Out);
  forgetSuspects(Agent.Suspects, Now);
  refuseOverdue(Agent, Now, Out);
  agentNoticePause(Agent, Now, Out);
  const bool WasFresh = viewIsFresh(Agent.Fleet);
  for (const LinkId Link : fleetTick(Agent.View, Agent.Fleet, Now, Out))
    agentLinkClosed(Agent, Link, Now);
  if (WasFresh && !viewIsFresh(Agent.Fleet))
    refuseWaiting(Agent, ErrorKind::StaleView, Out);
  sweepAttempts(Agent, Now, Out);
  sweepPlaces(Agent, Now, Out);
  // Places may have waited for reading to end, which no message tells.
  if (!Agent.Places.empty() && Agent.Gate.Waiting.Size > 0)
    runWaiting(Agent, Now, Out);
  giveSparePlaces(Agent, Now, Out);
  expireKeys(Agent.Keys, Agent.Fleet.Self.Run, Now);
  readList(Agent, Now, Out);
  moveChunks(Agent.Transfer, Agent.Weights, Now, Out);
  loadInTurn(Agent, Now, Out);
  announceChange(Agent, Now, Out);
}

void agentStop(AgentState &Agent, TimePoint Now, Effects &Out) {
  Agent.Stopping = true;
  refuseWaiting(Agent, ErrorKind::Leaving, Out);
  refreshLoad(Agent);
  announceLeaving(Agent.Fleet, Agent.View, Now, Out);
}

} // namespace jacinthpond
