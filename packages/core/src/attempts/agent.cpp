/** @file agent.cpp Event handlers of the agent beside one back end. */

#include "attempts/agent_func.h"

#include "admission/admission_func.h"
#include "admission/quarantine_func.h"
#include "admission/server_rate_func.h"
#include "admission/token_pace_func.h"
#include "attempts/attempt_func.h"
#include "attempts/back_end_death_func.h"
#include "attempts/back_end_pause_func.h"
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
#include "weights/staging_func.h"
#include "weights/transfer_func.h"
#include "weights/upload_func.h"
#include "weights/weights_func.h"

#include <algorithm>
#include <utility>

namespace jacinthpond {

namespace {

/** Requests allowed beyond the listed slots of a back end, so that the next one
 * is there when one ends; the slot would be idle for a network delay otherwise.
 */
constexpr uint32_t SlotsAhead = 1;
/** A longer gap between two ticks means that this process was paused. */
constexpr Millis MaxTickGap{250};

/** Gives the state of the back end as peers are told it. */
WorkerState workerState(const AgentState &Agent) {
  if (isAgentLeaving(Agent))
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

/** Gives the load of this worker for heartbeats and answers. */
WorkerLoad currentLoad(const AgentState &Agent) {
  WorkerLoad Load;
  Load.State = workerState(Agent);
  Load.Running = Agent.Gate.Running + Agent.Gate.Lingering;
  Load.Waiting = static_cast<uint32_t>(waitingAttempts(Agent.Gate).size());
  Load.Limit = Agent.Gate.Limit;
  Load.PerSecond = Agent.Rate.PerSecond;
  Load.KeyEpoch = Agent.Keys.Epoch;
  Load.Weights = Agent.Weights.Loaded;
  describeTransfer(Agent.Transfer, Load);
  return Load;
}

/** Updates the load that heartbeats report. */
void refreshLoad(AgentState &Agent) { Agent.Fleet.Load = currentLoad(Agent); }

/** Goes on with the transfer and the load after a change of what is here. */
void advanceWeights(AgentState &Agent, TimePoint Now, Effects &Out) {
  advanceTransfer(Agent.Transfer, Agent.Weights, Now, Out);
  loadInTurn(Agent, Now, Out);
  refreshLoad(Agent);
}

/** Updates the reported load and sends heartbeats ahead of their period when
 * state, weights, rate limit or work have changed. */
void announceLoadChange(AgentState &Agent, TimePoint Now, Effects &Out) {
  const WorkerState Before = Agent.Fleet.Load.State;
  const Digest Weights = Agent.Fleet.Load.Weights;
  const std::optional<double> PerSecond = Agent.Fleet.Load.PerSecond;
  refreshLoad(Agent);
  // Entries with an outdated load queue requests here while another worker is
  // idle.
  const uint32_t Work = Agent.Fleet.Load.Running + Agent.Fleet.Load.Waiting;
  const bool WorkChanged = Work != Agent.AnnouncedWork &&
                           !isOnStorePlatform(Agent.Config) &&
                           canSendHeartbeatEarly(Agent.Fleet, Now);
  if (WorkChanged)
    Agent.AnnouncedWork = Work;
  if (WorkChanged || Agent.Fleet.Load.State != Before ||
      Agent.Fleet.Load.Weights != Weights ||
      Agent.Fleet.Load.PerSecond != PerSecond)
    sendHeartbeats(Agent.Fleet, Agent.View, Now, Out);
}

/** Applies what the document lists for this back end server: slots, prompt
 * reading rate, and the length and rate limit of its cold start. */
void applyServerListing(AgentState &Agent, const Document &Doc, TimePoint Now) {
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
    Agent.Prefill.TokensPerSecond = Kind->PromptTokensPerSecond;
  if (it->Id != Agent.ListedServer.Id ||
      it->ColdFor != Agent.ListedServer.ColdFor) {
    Agent.ColdUntil = Now + it->ColdFor;
    Agent.ColdStartRate = {};
  }
  if (Kind != Doc.Services.end() && Kind->ColdPerSecond > 0)
    Agent.ColdStartRate.PerSecond = Kind->ColdPerSecond;
  else
    Agent.ColdStartRate.PerSecond.reset();
  Agent.ListedServer = *it;
  const uint32_t SlotLimit = it->Slots + SlotsAhead;
  // Compares both, since one limit from the settings may have this value too.
  if (Agent.Gate.Limits.Warm == SlotLimit &&
      Agent.Gate.Limits.Cold == SlotLimit)
    return;
  // A listed server's cold start is bounded by a rate, not by concurrency.
  Agent.Gate.Limits.Warm = Agent.Gate.Limits.Cold = SlotLimit;
  Agent.Gate.Limit = SlotLimit;
}

/** Applies a new document: the version that this worker has to load, the peers
 * it links to, the back end's limits, and a shut-off failure domain. */
void applyAgentDocument(AgentState &Agent, TimePoint Now, Effects &Out) {
  const Document &Doc = *Agent.View.InForce;
  const Worker *Self = findWorker(Doc, Agent.Fleet.Self.Name);
  if (Self != nullptr && !Self->Model.Value.empty()) {
    const ModelVersion *Wanted = findModel(Doc, Self->Model);
    if (Wanted != nullptr)
      recordNewestSet(Agent.Weights, Wanted->Set,
                      Agent.View.PublishedAfter.value_or(Now));
    if (Wanted != nullptr && !Wanted->Origin.Value.empty())
      obtainChunkList(Agent, *Wanted, Now, Out);
    else if (Wanted != nullptr)
      setWantedWeights(Agent.Weights, *Wanted);
    updateTransferPlan(Agent.Transfer, Agent.Weights, Doc, Self->Name, Now);
    applyServerListing(Agent, Doc, Now);
    for (const LinkId Link : updatePeerLinks(Agent, Out))
      handleAgentLinkClosed(Agent, Link, Now);
  }
  if (Doc.DomainsOut.contains(Agent.Fleet.Self.Domain))
    refuseWaiting(Agent, ErrorKind::DomainOut, Out);
  advanceTransfer(Agent.Transfer, Agent.Weights, Now, Out);
}

/** Adds a peer that sent Hello to the exchange of chunks if it is an agent. */
void registerChunkPeer(AgentState &Agent, LinkId Link) {
  const auto it = Agent.Fleet.Links.find(Link);
  if (it == Agent.Fleet.Links.end() || it->second.Peer.Sender != Role::Agent)
    return;
  addChunkPeer(Agent.Transfer, Link, it->second.Peer.Name,
               it->second.Peer.Domain == Agent.Fleet.Self.Domain);
}

/** Lowers the concurrency limit to its cold value when most answers have
 * stalled. */
void detectStalls(AgentState &Agent, TimePoint Now, Effects &Out) {
  if (Now - Agent.Fleet.LastTick > MaxTickGap)
    return;
  if (!isMostlyStalled(Agent, Now) ||
      Agent.Gate.Limit <= Agent.Gate.Limits.Cold)
    return;
  applyColdLimit(Agent.Gate);
  Out.push_back(
      LogNote{LogPart::Admission, LogLevel::Warn,
              "Most answers have stalled; the back end counts as cold."});
}

/** Checks the gap before a token for signs that the back end has turned cold.
 */
void checkTokenGap(AgentState &Agent, Attempt &One, TimePoint Now,
                   Effects &Out) {
  const bool First = One.LastTokenAt == TimePoint{};
  const Duration Gap = Now - One.LastTokenAt;
  // The slow tokens of all answers arrive at about the same time, so that a
  // tick just after them finds no stalled answer. At the first of them the
  // other answers are still stalled.
  if (!First && isFarAboveWarm(Agent.Gate.Pace, Gap))
    detectStalls(Agent, Now, Out);
  One.LastTokenAt = Now;
  // After a pause of this process, which the missed ticks show, all gaps are
  // long and say nothing about the back end.
  if (First || Now - Agent.Fleet.LastTick > MaxTickGap)
    return;
  if (recordTokenGap(Agent.Gate, Gap))
    Out.push_back(
        LogNote{LogPart::Admission, LogLevel::Warn,
                "Tokens arrive too slowly; the back end counts as cold."});
}

/**
 * Applies the rate limit that a report of the back end names. Where reports
 * never name one, only an answer to a request can show that it was lifted.
 */
void applyReportedRate(AgentState &Agent, const EngineState &Read,
                       TimePoint Now, Effects &Out) {
  const bool NewRun = !Agent.BackEndRun.empty() && Read.Run != Agent.BackEndRun;
  if (NewRun && Agent.Rate.PerSecond) {
    Agent.Rate = {};
    logRateChange(Agent, RateChange::Lifted, "restart", Out);
  }
  // This report was requested after the previous one had arrived.
  const TimePoint RequestedAfter = std::exchange(Agent.LastReportAt, Now);
  RateChange Change = RateChange::None;
  if (Read.PerSecond)
    Change = recordRateLimit(Agent.Rate, *Read.PerSecond, Now);
  else if (Agent.RateInReports)
    Change = recordNoRateLimit(Agent.Rate, RequestedAfter);
  Agent.RateInReports = Read.PerSecond || (Agent.RateInReports && !NewRun &&
                                           Agent.Rate.PerSecond);
  logRateChange(Agent, Change, "report", Out);
}

/** Tells the entries once when the back end says that it is shutting down. */
void announceLeavingBackEnd(AgentState &Agent, const EngineState &Read,
                            Effects &Out) {
  const BackEndServer &Server = Agent.ListedServer;
  if (!Read.Leaving || Read.Run == Agent.LeavingRun || Server.Id.Value.empty())
    return;
  Agent.LeavingRun = Read.Run;
  Out.push_back(LogNote{LogPart::Admission, LogLevel::Info,
                        "event=server_leaving from=report server=" +
                            Server.Id.Value + " run=" + Read.Run});
  broadcastNotice(Agent.Fleet, ServerLeavingNotice{Server.Id, Server.Born},
                  Role::Entry, Out);
}

/** Answers a ping, which shows the peer that this host runs. */
void answerPing(LinkId Link, const Ping &m, Effects &Out) {
  Out.push_back(SendMessage{Link, Pong{m.Sequence}});
}

/** Says whether a run's end may mean that the back end died during it. */
bool mayHaveDied(const Outcome<EngineEnd> &End) {
  return !End.Value && (End.Why.Kind == ErrorKind::OutcomeUnknown ||
                        End.Why.Kind == ErrorKind::PartialAnswer);
}

/** Classifies the end of a run for admission control. */
RunEnd runEndOf(bool Complete, const Outcome<EngineEnd> &End) {
  if (Complete)
    return RunEnd::Complete;
  const bool NeverSent = !End.Value && End.Why.Kind == ErrorKind::Unreachable;
  return NeverSent || End.Value ? RunEnd::NotStarted : RunEnd::Abandoned;
}

} // namespace

AgentState makeAgent(const Settings &Config, Incarnation Run, TimePoint Now) {
  AgentState Agent;
  Agent.Config = Config;
  Agent.Fleet = makeMembership(Config, Role::Agent, Run, Now);
  Agent.LastSpareCapacityAt = Now;
  Agent.Gate.Limits = {static_cast<uint32_t>(Config.WarmLimit),
                       static_cast<uint32_t>(Config.ColdLimit),
                       static_cast<uint32_t>(Config.QueueLimit),
                       static_cast<uint32_t>(Config.WarmAfter)};
  applyColdLimit(Agent.Gate);
  Effects None; // Dropped: the first tick opens the links.
  setWantedPeers(Agent.Fleet, seedPeers(Config), None);
  Agent.Weights.StagedAtEngine = isOnStorePlatform(Config);
  Agent.Transfer = makeTransfer(Config);
  Agent.Keys = makeKeyStore(Now);
  Agent.Keys.KnownIncarnations.insert(Run);
  return Agent;
}

void handleAgentLinkOpened(AgentState &Agent, LinkId Link, TimePoint Now,
                           Effects &Out) {
  handleLinkOpened(Agent.Fleet, Link, Now, Out);
}

void handleAgentLinkClosed(AgentState &Agent, LinkId Link, TimePoint Now) {
  handleLinkClosed(Agent.Fleet, Link, Now);
  removeChunkPeer(Agent.Transfer, Link, Now);
  detachAttempts(Agent, Link, Now);
  Effects None; // Dropped: the link is gone.
  detachSlots(Agent, Link, Now, None);
}

void detectAgentPause(AgentState &Agent, TimePoint Now, Effects &Out) {
  const std::vector<LinkId> Dropped =
      dropLinksAfterPause(Agent.Fleet, Now, Out);
  if (Dropped.empty())
    return;
  for (const LinkId Link : Dropped)
    handleAgentLinkClosed(Agent, Link, Now);
  refuseWaiting(Agent, ErrorKind::StaleView, Out);
}

void handleAgentMessage(AgentState &Agent, LinkId Link, const Message &m,
                        TimePoint Now, Effects &Out) {
  detectAgentPause(Agent, Now, Out);
  if (!recordLinkActivity(Agent.Fleet, Link, Now))
    return;
  const DocumentPtr Before = Agent.View.InForce;
  const FleetMessageResult News =
      handleFleetMessage(Agent.View, Agent.Fleet, Link, m, Now, Out);
  if (News == FleetMessageResult::NewDocument) {
    recordPastDocument(Agent.Keys, Before, Now);
    applyAgentDocument(Agent, Now, Out);
    announceLoadChange(Agent, Now, Out);
  }
  if (std::holds_alternative<Hello>(m)) {
    registerChunkPeer(Agent, Link);
    // An entry that has just started knows no worker before this.
    sendHeartbeatTo(Agent.Fleet, Link, Agent.View, Now, Out);
    sendSuspects(Agent.Suspects, Link, Now, Out);
  }
  if (News != FleetMessageResult::Unrelated)
    return;
  std::visit(Overloaded{[&](const AttemptStart &Start) {
                          handleAttemptStart(Agent, Link, Start, Now, Out);
                        },
                        [&](const SlotRequest &Ask) {
                          handleSlotRequest(Agent, Link, Ask, Now, Out);
                        },
                        [&](const SlotRelease &Done) {
                          handleSlotRelease(Agent, Done, Now, Out);
                          loadInTurn(Agent, Now, Out);
                        },
                        [&](const RateLimitNotice &Heard) {
                          handleRateNotice(Agent, Heard, Now, Out);
                          announceLoadChange(Agent, Now, Out);
                        },
                        [&](const AttemptCancel &Cancel) {
                          cancelAttempt(Agent, Cancel.Attempt, Now, Out);
                        },
                        [&](const ChunkHave &Have) {
                          recordAnnouncement(Agent.Transfer, Link, Have, Now);
                          advanceTransfer(Agent.Transfer, Agent.Weights, Now,
                                          Out);
                        },
                        [&](const ChunkListNotice &List) {
                          if (handleListNotice(Agent, Link, List, Now, Out))
                            announceLoadChange(Agent, Now, Out);
                        },
                        [&](const ChunkRequest &Request) {
                          queueUpload(Agent.Transfer, Agent.Weights, Link,
                                      Request, Out);
                          sendUploads(Agent.Transfer, Agent.Weights, Now, Out);
                        },
                        [&](const SuspectNotice &Notice) {
                          handleSuspectNotice(Agent, Notice, Now, Out);
                        },
                        [&](const AttemptQuery &Query) {
                          handleAttemptQuery(Agent, Link, Query, Now, Out);
                        },
                        [&](const Ping &m) { answerPing(Link, m, Out); },
                        [](const auto &) {
                          // The other types are meant for entries.
                        }},
             m);
}

void handleEngineStart(AgentState &Agent, const AttemptId &Which,
                       const Digest &Weights, Effects &Out) {
  const auto it = Agent.Attempts.find(Which);
  if (it == Agent.Attempts.end())
    return;
  // The engine may have restarted with other weights since its last report.
  // No part of such an answer may reach the caller.
  if (Weights != Agent.Weights.Loaded || Agent.Weights.Loading) {
    it->second.Cancelled = true;
    Out.push_back(CancelRun{Which});
    failAttempt(Agent, Which,
                {ErrorKind::WeightsNotReady, "engine uses other weights", {}},
                Ran::Yes, Out);
    return;
  }
  sendAttemptStarted(it->second, Weights, Out);
}

void handleEngineToken(AgentState &Agent, const AttemptId &Which,
                       const std::string &Token, TimePoint Now, Effects &Out) {
  const auto it = Agent.Attempts.find(Which);
  if (it == Agent.Attempts.end())
    return;
  checkTokenGap(Agent, it->second, Now, Out);
  sendFrame(it->second, Token, Out);
}

void handleEngineEnd(AgentState &Agent, const AttemptId &Which,
                     const Outcome<EngineEnd> &End, TimePoint Now,
                     Effects &Out) {
  const auto it = Agent.Attempts.find(Which);
  const bool Known = it != Agent.Attempts.end();
  const bool Complete = Known && End.Value &&
                        End.Value->Count == nextFrameNumber(it->second) &&
                        End.Value->Weights == it->second.Weights;
  recordRunEnd(Agent.Gate, Which, runEndOf(Complete, End),
               Known ? Now - it->second.StartedAt : Duration{0});
  if (Complete) {
    clearSuspicion(Agent, it->second, Now, Out);
    finishAttempt(Agent, Which, 200, Out);
  } else if (Known && !it->second.Cancelled && mayHaveDied(End)) {
    handleBrokenRun(Agent, Which, End.Why, Now, Out);
  } else if (Known) {
    const bool NeverSent = End.Why.Kind == ErrorKind::Unreachable && !End.Value;
    Failure Why = End.Why;
    if (End.Value)
      Why = {ErrorKind::PartialAnswer, "engine's count differs", {}};
    failAttempt(Agent, Which, Why, NeverSent ? Ran::No : Ran::Unknown, Out);
  }
  recordBackEndPause(Agent, End.Value ? Millis{0} : End.Why.RetryAfter, Now,
                     Out);
  startWaitingWork(Agent, Now, Out);
  loadInTurn(Agent, Now, Out);
  refreshLoad(Agent);
}

void handleServiceAnswer(AgentState &Agent, const AttemptId &Which,
                         const Outcome<ServiceAnswer> &Answer, TimePoint Now,
                         Effects &Out) {
  const auto it = Agent.Attempts.find(Which);
  // A plain service does not report what it runs. A run without an answer
  // therefore counts as over at once.
  recordRunEnd(
      Agent.Gate, Which, Answer.Value ? RunEnd::Complete : RunEnd::NotStarted,
      it == Agent.Attempts.end() ? Duration{0} : Now - it->second.StartedAt);
  if (it == Agent.Attempts.end())
    return;
  const AttemptStart Asked = it->second.StartMessage;
  if (Answer.Value) {
    sendFrame(it->second, Answer.Value->Body, Out);
    finishAttempt(Agent, Which, Answer.Value->Status, Out);
    settleAnsweredKey(Agent, Asked, *Answer.Value, Out);
  } else {
    const bool NeverSent = Answer.Why.Kind == ErrorKind::Unreachable;
    failAttempt(Agent, Which, Answer.Why, NeverSent ? Ran::No : Ran::Unknown,
                Out);
  }
  recordBackEndPause(Agent, Answer.Value ? Answer.Value->RetryAfter : Millis{0},
                     Now, Out);
  startWaitingWork(Agent, Now, Out);
  refreshLoad(Agent);
}

void handleEngineReport(AgentState &Agent, const Outcome<EngineState> &Read,
                        uint64_t OrdersEnded, TimePoint Now, Effects &Out) {
  // A report requested before the last load order ended is outdated.
  const bool Current = OrdersEnded == Agent.Weights.OrdersEnded &&
                       OrdersEnded == Agent.Weights.OrdersSent;
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
      Out.push_back(
          LogNote{LogPart::Weights, LogLevel::Info,
                  "Engine reports loaded weights set " + Known.Value});
    recordLoadedSet(Agent.Weights, Known);
  }
  if (Agent.BackEndUp && !Read.Value)
    Out.push_back(
        LogNote{LogPart::Weights, LogLevel::Warn,
                "Back end report could not be read: " + Read.Why.Detail});
  Agent.BackEndUp = Read.Value.has_value();
  if (Read.Value) {
    applyReportedRate(Agent, *Read.Value, Now, Out);
    announceLeavingBackEnd(Agent, *Read.Value, Out);
  }
  resolveBrokenRuns(Agent, Run, Now, Out);
  endPauseOfFormerRun(Agent, Run);
  if (Restarted) {
    applyColdLimit(Agent.Gate);
    refuseWaiting(Agent, ErrorKind::ColdStart, Out);
  }
  if (Read.Value)
    applyBackEndReport(Agent.Gate, Read.Value->Running, Read.Value->Cold,
                       Restarted);
  startWaitingWork(Agent, Now, Out);
  loadInTurn(Agent, Now, Out);
  announceLoadChange(Agent, Now, Out);
}

void handleServiceProbe(AgentState &Agent, const Outcome<std::string> &Read,
                        TimePoint Now, Effects &Out) {
  Agent.BackEndUp = Read.Value.has_value();
  const std::string Run = Read.Value.value_or("");
  if (Run != Agent.ServiceRun)
    applyColdLimit(Agent.Gate);
  Agent.ServiceRun = Run;
  endPauseOfFormerRun(Agent, Run);
  announceLoadChange(Agent, Now, Out);
}

void handleOriginChunk(AgentState &Agent, const Digest &Chunk,
                       const DigestedChunk &Came, TimePoint Now, Effects &Out) {
  receiveChunkFromOrigin(Agent.Transfer, Agent.Weights, Chunk, Came, Now, Out);
  advanceWeights(Agent, Now, Out);
}

void handleOriginChunkList(AgentState &Agent, const ChunkRef &Version,
                           const Outcome<ChunkList> &Read, TimePoint Now,
                           Effects &Out) {
  if (handleListRead(Agent, Version, Read, Now, Out))
    announceLoadChange(Agent, Now, Out);
}

void handlePeerChunkPart(AgentState &Agent, LinkId Link, const ChunkData &Data,
                         TimePoint Now, Effects &Out) {
  if (!recordLinkActivity(Agent.Fleet, Link, Now))
    return;
  auto Joined = receiveChunkPart(Agent.Transfer, Link, Data, Now, Out);
  if (!Joined)
    return;
  ChunkBytes Bytes;
  if (!Joined->empty())
    Bytes = std::make_shared<const std::string>(std::move(*Joined));
  handlePeerChunk(Agent, Link, Data.Chunk, digestChunk(std::move(Bytes)), Now,
                  Out);
}

void handleStagedChunk(AgentState &Agent, const ChunkRef &Chunk, bool Staged,
                       TimePoint Now, Effects &Out) {
  recordStagedChunk(Agent.Transfer, Agent.Weights, Chunk, Staged, Now);
  advanceWeights(Agent, Now, Out);
}

void handleSlotRead(AgentState &Agent, const SlotRead &Read, TimePoint Now,
                    Effects &Out) {
  const Digest Before =
      recordSlotRead(Agent.Transfer, Agent.Weights, Read, Now);
  const Digest &Found = Read.Found.Actual;
  if (!Before.Value.empty() && Before != Found) {
    ++Agent.Transfer.Counters.BadChunks;
    Out.push_back(LogNote{
        LogPart::Weights, LogLevel::Warn,
        "event=staged_chunk_differs version=" + Read.Slot.Version + " number=" +
            std::to_string(Read.Slot.Number) + " staged=" + Before.Value +
            " found=" + (Found.Value.empty() ? "-" : Found.Value)});
  }
  advanceWeights(Agent, Now, Out);
}

void handlePeerChunk(AgentState &Agent, LinkId Link, const Digest &Chunk,
                     const DigestedChunk &Came, TimePoint Now, Effects &Out) {
  if (!recordLinkActivity(Agent.Fleet, Link, Now))
    return;
  receiveChunkFromPeer(Agent.Transfer, Agent.Weights, Link, Chunk, Came, Now,
                       Out);
  advanceWeights(Agent, Now, Out);
}

void countAnswerBytes(AgentState &Agent, LinkId Link, uint64_t Bytes,
                      TimePoint Now) {
  const auto it = Agent.Fleet.Links.find(Link);
  if (it != Agent.Fleet.Links.end() &&
      it->second.Peer.Domain != Agent.Fleet.Self.Domain)
    countLiveTraffic(Agent.Transfer.CrossDomain, Bytes, Now);
}

void setLinkBacklog(AgentState &Agent, LinkId Link, uint64_t Bytes) {
  const auto it = Agent.Transfer.Peers.find(Link);
  if (it != Agent.Transfer.Peers.end())
    it->second.BacklogBytes = Bytes;
}

void handleLoadResult(AgentState &Agent, const std::optional<Failure> &Why,
                      TimePoint Now, Effects &Out) {
  const bool Unknown = Why && Why->Kind == ErrorKind::OutcomeUnknown;
  recordOrderEnd(Agent.Weights, !Why, Now);
  if (!Why)
    markOrderConfirmed(Agent.Weights);
  else if (Unknown)
    markOrderUnconfirmed(Agent.Weights);
  applyColdLimit(Agent.Gate);
  if (Why)
    Out.push_back(
        LogNote{LogPart::Weights, LogLevel::Warn,
                "Load order failed: " + Why->Detail +
                    " event=load_failed set=" + Agent.Weights.OrderedSet.Value +
                    " may_be_loaded=" + (Unknown ? "yes" : "no")});
}

void attachCurrentLoad(const AgentState &Agent, Effects &Out) {
  attachLoad(currentLoad(Agent), Out);
}

void handleAgentTick(AgentState &Agent, TimePoint Now, Effects &Out) {
  detectStalls(Agent, Now, Out);
  dropExpiredSuspects(Agent.Suspects, Now);
  refuseOverdueAttempts(Agent, Now, Out);
  detectAgentPause(Agent, Now, Out);
  const bool WasFresh = isViewFresh(Agent.Fleet);
  for (const LinkId Link : tickFleet(Agent.View, Agent.Fleet, Now, Out))
    handleAgentLinkClosed(Agent, Link, Now);
  if (WasFresh && !isViewFresh(Agent.Fleet))
    refuseWaiting(Agent, ErrorKind::StaleView, Out);
  expireAttempts(Agent, Now, Out);
  expireSlots(Agent, Now, Out);
  // Queued slots may wait for prompts to be read, which ends without a
  // message.
  // Attempts may wait for the end of a pause, which nothing announces.
  const bool MayBeDue =
      !Agent.SlotsById.empty() || Agent.Backoff.Until > TimePoint{};
  if (MayBeDue && Agent.Gate.Waiting.Size > 0)
    startWaitingWork(Agent, Now, Out);
  grantSpareSlots(Agent, Now, Out);
  expireKeys(Agent.Keys, Agent.Fleet.Self.Run, Now);
  requestMissingList(Agent, Now, Out);
  setLinkIdle(Agent.Transfer, Agent.Gate.Running + Agent.Gate.Lingering == 0);
  advanceTransfer(Agent.Transfer, Agent.Weights, Now, Out);
  loadInTurn(Agent, Now, Out);
  announceLoadChange(Agent, Now, Out);
}

void beginAgentShutdown(AgentState &Agent, TimePoint Now, Effects &Out) {
  Agent.Stopping = true;
  refuseWaiting(Agent, ErrorKind::Leaving, Out);
  refreshLoad(Agent);
  announceLeaving(Agent.Fleet, Agent.View, Now, Out);
}

} // namespace jacinthpond
