/** @file chunk_list.cpp Chunk lists of weights versions, read or from peers. */

#include "attempts/chunk_list_func.h"

#include "weights/chunk_plan_func.h"
#include "weights/staging_func.h"
#include "weights/transfer_func.h"
#include "weights/weights_func.h"

#include <utility>

namespace jacinthpond {

namespace {

/** Delay before a chunk list that could not be read is read again. */
constexpr Millis ListRetryDelay{300};
/** The same for agents that usually get the list from a reader of their domain:
 * the origin must not send it to all of them when it is back. */
constexpr Millis OtherListRetryDelay{1500};
/** Most doublings of that delay for lists that are no valid ones. */
constexpr uint32_t MaxListDoublings = 5;
/** Agents of a failure domain that read a list at once; the second one in case
 * the first one fails. */
constexpr size_t ListReadersPerDomain = 2;
/** Time in which the others get the list: two reads of it and the way to them.
 */
constexpr Millis ListNoticeTimeout{400};

/** Longest time for which no chunks are fetched from the origin, so that it
 * sends the list of a new version first. */
constexpr Millis ListPriorityTime{2000};

/** Stops fetching chunks of the former version from the origin: its link would
 * send them ahead of the list and the chunks of the new version. */
void yieldOriginToList(TransferState &Transfer, TimePoint Now, Effects &Out) {
  Transfer.OriginPausedUntil = Now + ListPriorityTime;
  if (Transfer.OriginRequests > 0)
    Out.push_back(CancelOriginFetches{});
}

/** Selects a version whose chunk list is known for loading, and asks the engine
 * which of its chunks are staged there already. */
void selectVersion(AgentState &Agent, const ModelVersion &Wanted, TimePoint Now,
                   Effects &Out) {
  const bool IsNew = Agent.Weights.Wanted.Set != Wanted.Set;
  if (IsNew)
    Out.push_back(LogNote{LogPart::Weights, LogLevel::Info,
                          "event=set_wanted set=" + Wanted.Set.Value +
                              " loaded=" + Agent.Weights.Loaded.Value});
  setWantedWeights(Agent.Weights, Wanted);
  updateTransferPlan(Agent.Transfer, Agent.Weights, *Agent.View.InForce,
                     Agent.Fleet.Self.Name, Now);
  // After a restart of the agent beside a loaded engine, the staged chunks need
  // not be fetched, and peers can fetch them from here.
  if (!IsNew || Agent.Config.EngineUrl.empty() || Wanted.Origin.Value.empty())
    return;
  auto Unknown = unknownSlots(Agent.Transfer, Agent.Weights);
  if (!Unknown.empty())
    Out.push_back(FindStagedChunks{std::move(Unknown)});
}

/** Sends the chunk list to agents that don't have it yet, of this domain or of
 * all domains. */
void sendListToPeers(const AgentState &Agent, bool AllDomains, Effects &Out) {
  const ModelVersion &Wanted = Agent.Weights.Wanted;
  const ChunkListNotice Told{Wanted.Name, Wanted.Version, Wanted.ChunkBytes,
                             Wanted.Chunks};
  for (const auto &[Link, Peer] : Agent.Transfer.Peers)
    if ((Peer.SameDomain || AllDomains) && Peer.Announced.Set != Wanted.Set)
      Out.push_back(SendMessage{Link, Told});
}

/** Completes the pending version with its chunk list, selects it for loading
 * and sends the list to the domain; a list read here, also to other domains, as
 * the origin may answer their readers seconds later. */
void acceptList(AgentState &Agent, const ChunkList &List, bool ReadHere,
                TimePoint Now, Effects &Out) {
  ModelVersion Known = std::exchange(Agent.PendingVersion, {});
  Known.Chunks = List.Chunks;
  Known.ChunkBytes = List.ChunkBytes;
  Known.TotalBytes = Known.ChunkBytes * Known.Chunks.size();
  selectVersion(Agent, Known, Now, Out);
  sendListToPeers(Agent, ReadHere, Out);
  advanceTransfer(Agent.Transfer, Agent.Weights, Now, Out);
}

/** Accepts the latest list from a peer if it is that of the pending version.
 * @return False when it is not. */
bool applyLastNotice(AgentState &Agent, TimePoint Now, Effects &Out) {
  const ChunkListNotice &Told = Agent.LastListNotice;
  const bool IsPending = !Agent.PendingVersion.Set.Value.empty() &&
                         Agent.PendingVersion.Name == Told.Model &&
                         Agent.PendingVersion.Version == Told.Version;
  if (!IsPending)
    return false;
  Out.push_back(
      LogNote{LogPart::Weights, LogLevel::Info,
              "event=list_told set=" + Agent.PendingVersion.Set.Value});
  acceptList(Agent, {Told.Chunks, Told.ChunkBytes}, /*ReadHere=*/false, Now,
             Out);
  return true;
}

/** Says whether this agent is one of the few of its domain that read lists at
 * once. */
bool isListReader(const ChunkPlan &Plan) {
  return !isPlanned(Plan) || Plan.Hosts[Plan.Self].Rank < ListReadersPerDomain;
}

/** Delays the next read of a list, longer after each invalid one: the origin
 * may go on sending it. */
void delayListRead(AgentState &Agent, TimePoint Now) {
  const Millis First =
      isListReader(Agent.Transfer.Plan) ? ListRetryDelay : OtherListRetryDelay;
  Agent.NextListReadAt =
      Now + doubledDelay(First, Agent.InvalidLists, MaxListDoublings);
}

/** Schedules the next read of a list after one that failed. An origin that is
 * down sends the list first when it is back. */
void retryListRead(AgentState &Agent, const Failure &Why, TimePoint Now,
                   Effects &Out) {
  delayListRead(Agent, Now);
  Agent.InvalidLists += Why.Kind == ErrorKind::Malformed ? 1 : 0;
  if (Why.Kind == ErrorKind::Unreachable)
    yieldOriginToList(Agent.Transfer, Now, Out);
}

} // namespace

void requestMissingList(AgentState &Agent, TimePoint Now, Effects &Out) {
  const ModelVersion &Wanted = Agent.PendingVersion;
  if (Wanted.Set.Value.empty() || Agent.ListReadPending ||
      Now < Agent.NextListReadAt)
    return;
  Agent.ListReadPending = true;
  Out.push_back(
      ReadChunkList{{Wanted.Name, Wanted.Version, 0, {}, Wanted.Origin}});
}

void obtainChunkList(AgentState &Agent, const ModelVersion &Wanted,
                     TimePoint Now, Effects &Out) {
  if (Agent.Weights.Wanted.Set == Wanted.Set) {
    Agent.PendingVersion = {};
    return;
  }
  if (Agent.PendingVersion.Set == Wanted.Set)
    return;
  Agent.PendingVersion = Wanted;
  Agent.UnconfirmedList.reset();
  Agent.InvalidLists = 0;
  Agent.NextListReadAt =
      isListReader(Agent.Transfer.Plan) ? Now : Now + ListNoticeTimeout;
  Agent.ListReadPending = false;
  yieldOriginToList(Agent.Transfer, Now, Out);
  if (!applyLastNotice(Agent, Now, Out))
    requestMissingList(Agent, Now, Out);
}

bool handleListRead(AgentState &Agent, const ChunkRef &Version,
                    const Outcome<ChunkList> &Read, TimePoint Now,
                    Effects &Out) {
  const ModelVersion &Wanted = Agent.PendingVersion;
  if (Wanted.Name != Version.Model || Wanted.Version != Version.Version)
    return false; // Another version is pending by now, or none.
  Agent.ListReadPending = false;
  if (!Read.Value || Read.Value->Chunks.empty()) {
    retryListRead(Agent, Read.Why, Now, Out);
    Out.push_back(LogNote{LogPart::Weights, LogLevel::Warn,
                          "Chunk list of version " + Version.Version +
                              " could not be read: " + Read.Why.Detail});
    return false;
  }
  // The list may be damaged on its way and has no checksum. It is accepted once
  // two reads agree.
  if (Agent.UnconfirmedList != Read.Value) {
    // One of the two was damaged; a third read decides. An origin whose answers
    // keep differing is asked ever more seldom.
    if (Agent.UnconfirmedList && Agent.InvalidLists++ > 0)
      delayListRead(Agent, Now);
    Agent.UnconfirmedList = Read.Value;
    requestMissingList(Agent, Now, Out);
    return false;
  }
  acceptList(Agent, *Read.Value, /*ReadHere=*/true, Now, Out);
  return true;
}

bool handleListNotice(AgentState &Agent, LinkId Link,
                      const ChunkListNotice &Told, TimePoint Now,
                      Effects &Out) {
  // Links have checksums, and the list was read twice by the sender or by the
  // one that sent it there.
  if (!Agent.Transfer.Peers.contains(Link) || Told.Chunks.empty())
    return false;
  Agent.LastListNotice =
      Told; // The document that names the version may come later.
  return applyLastNotice(Agent, Now, Out);
}

} // namespace jacinthpond
