/** @file chunk_list.cpp How an agent learns of what chunks a version is made.
 */

#include "attempts/chunk_list_func.h"

#include "weights/chunk_plan_func.h"
#include "weights/transfer_func.h"
#include "weights/weights_func.h"

#include <utility>

namespace jacinthpond {

namespace {

/** Wait before a list of chunks that could not be read is read again. */
constexpr Millis ListRetry{300};
/** Agents of a domain that read a list at once; the second stands in for the
 * first one. */
constexpr size_t ListReaders = 2;
/** Time in which the others are told it: two readings of it, and the way. */
constexpr Millis ListTellTime{400};

/** Follows a version whose chunks are known, and looks what lies staged. */
void wantVersion(AgentState &Agent, const ModelVersion &Wanted, TimePoint Now,
                 Effects &Out) {
  const bool New = Agent.Weights.Wanted.Set != Wanted.Set;
  if (New)
    Out.push_back(LogNote{LogPart::Weights, LogLevel::Info,
                          "event=set_wanted set=" + Wanted.Set.Value +
                              " loaded=" + Agent.Weights.Loaded.Value});
  wantWeights(Agent.Weights, Wanted);
  planTransfer(Agent.Transfer, Agent.Weights, *Agent.View.InForce,
               Agent.Fleet.Self.Name, Now);
  // An agent that was started again beside a loaded engine need not fetch what
  // lies there, and others can fetch it from here.
  if (New && !Agent.Config.EngineUrl.empty() && !Wanted.Origin.Value.empty())
    Out.push_back(ReadStaged{missingChunks(Agent.Transfer)});
}

/** Tells agents of this domain that do not have the list yet. */
void tellList(const AgentState &Agent, Effects &Out) {
  const ModelVersion &Wanted = Agent.Weights.Wanted;
  const ChunkListTold Told{Wanted.Name, Wanted.Version, Wanted.ChunkBytes,
                           Wanted.Chunks};
  for (const auto &[Link, Peer] : Agent.Transfer.Peers)
    if (Peer.SameDomain && Peer.Told.Set != Wanted.Set)
      Out.push_back(SendMessage{Link, Told});
}

/** Wants the version whose list was missing. */
void takeList(AgentState &Agent, const ChunkList &List, TimePoint Now,
              Effects &Out) {
  ModelVersion Known = std::exchange(Agent.Listing, {});
  Known.Chunks = List.Chunks;
  Known.ChunkBytes = List.ChunkBytes;
  Known.TotalBytes = Known.ChunkBytes * Known.Chunks.size();
  wantVersion(Agent, Known, Now, Out);
  tellList(Agent, Out);
  moveChunks(Agent.Transfer, Agent.Weights, Now, Out);
}

/** Takes the list that was told last where it is the one that is missing. */
bool useToldList(AgentState &Agent, TimePoint Now, Effects &Out) {
  const ChunkListTold &Told = Agent.LastTold;
  const bool Missing = !Agent.Listing.Set.Value.empty() &&
                       Agent.Listing.Name == Told.Model &&
                       Agent.Listing.Version == Told.Version;
  if (!Missing)
    return false;
  Out.push_back(LogNote{LogPart::Weights, LogLevel::Info,
                        "event=list_told set=" + Agent.Listing.Set.Value});
  takeList(Agent, {Told.Chunks, Told.ChunkBytes}, Now, Out);
  return true;
}

/** Gives how long this agent waits to be told a list before it reads it. */
Millis waitToBeTold(const AgentState &Agent) {
  const ChunkPlan &Plan = Agent.Transfer.Plan;
  const bool Reader =
      !planned(Plan) || Plan.Hosts[Plan.Self].Rank < ListReaders;
  return Reader ? Millis{0} : ListTellTime;
}

} // namespace

void readList(AgentState &Agent, TimePoint Now, Effects &Out) {
  const ModelVersion &Wanted = Agent.Listing;
  if (Wanted.Set.Value.empty() || Agent.ListAsked || Now < Agent.NextListRead)
    return;
  Agent.ListAsked = true;
  Out.push_back(
      ReadChunkList{{Wanted.Name, Wanted.Version, 0, {}, Wanted.Origin}});
}

void followVersion(AgentState &Agent, const ModelVersion &Wanted, TimePoint Now,
                   Effects &Out) {
  if (Agent.Weights.Wanted.Set == Wanted.Set) {
    Agent.Listing = {};
    return;
  }
  if (Agent.Listing.Set == Wanted.Set)
    return;
  Agent.Listing = Wanted;
  Agent.ListRead.reset();
  Agent.NextListRead = Now + waitToBeTold(Agent);
  Agent.ListAsked = false;
  if (!useToldList(Agent, Now, Out))
    readList(Agent, Now, Out);
}

bool listRead(AgentState &Agent, const ChunkRef &Version,
              const Outcome<ChunkList> &Read, TimePoint Now, Effects &Out) {
  const ModelVersion &Wanted = Agent.Listing;
  if (Wanted.Name != Version.Model || Wanted.Version != Version.Version)
    return false; // Another version is wanted by now, or it was told.
  Agent.ListAsked = false;
  if (!Read.Value || Read.Value->Chunks.empty()) {
    Agent.NextListRead = Now + ListRetry;
    Out.push_back(LogNote{LogPart::Weights, LogLevel::Warn,
                          "Chunk list of version " + Version.Version +
                              " not read: " + Read.Why.Detail});
    return false;
  }
  // The list may be damaged on its way, and nothing vouches for it: it counts
  // once two readings agree.
  if (Agent.ListRead != Read.Value) {
    Agent.ListRead = Read.Value;
    readList(Agent, Now, Out);
    return false;
  }
  takeList(Agent, *Read.Value, Now, Out);
  return true;
}

bool listTold(AgentState &Agent, LinkId Link, const ChunkListTold &Told,
              TimePoint Now, Effects &Out) {
  // Links have checksums of their own, and who tells it has read it twice or
  // was told by one who has.
  if (!Agent.Transfer.Peers.contains(Link) || Told.Chunks.empty())
    return false;
  Agent.LastTold = Told; // The document that names it may come later.
  return useToldList(Agent, Now, Out);
}

} // namespace jacinthpond
