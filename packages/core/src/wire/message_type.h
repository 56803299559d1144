/** @file message_type.h Messages between the system's own processes.
 *
 * Entries open links to agents and to each other, agents open links to each
 * other. A link carries one CBOR list for each message; message_codec turns
 * them into these structs and back. Every message has a describe() function
 * that names its fields once, for both directions.
 */

#ifndef JACINTHPOND_CORE_MESSAGE_TYPE_H
#define JACINTHPOND_CORE_MESSAGE_TYPE_H

#include "base/error_type.h"
#include "base/ids_type.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace jacinthpond {

/** What a process of the system is. */
enum class Role : uint8_t { Entry, Agent };

/** How far a back end is from serving. */
enum class WorkerState : uint8_t {
  Empty,   ///< No whole weights, or the back end does not answer.
  Loading, ///< Weights are being fetched or loaded.
  Warming, ///< Serves, below its full limit.
  Serving, ///< Serves at its full limit.
  Leaving, ///< Finishes what it has.
};

/** First message on each link, both ways. */
struct Hello {
  HostName Name;             ///< Published name of the sender.
  Role Sender = Role::Entry; ///< What the sender is.
  Incarnation Run;           ///< Changes with each start or wake-up.
  DomainName Domain;         ///< Failure domain of the sender.
  ConfigVersion Version;     ///< Configuration in force at the sender.
  Digest ConfigDigest;       ///< Digest of that document.
  bool Fresh = false;        ///< The sender trusts its view; see join_type.h.
  Address At;                ///< Where the sender accepts links; empty: unsaid.
  Address Callers;           ///< Where it takes callers; entries only.
};

/** Load and state of one back end, as its agent sees it. */
struct WorkerLoad {
  WorkerState State = WorkerState::Empty; ///< Distance from serving.
  uint32_t Running = 0;                   ///< Requests in the back end.
  uint32_t Waiting = 0;                   ///< Requests in the agent's queue.
  uint32_t Limit = 0;                     ///< Running work allowed now.
  std::optional<double> PerSecond;        ///< Rate limit of the back end.
  uint64_t KeyEpoch = 0;        ///< Stretch of memory that home tokens name.
  Digest Weights;               ///< Digest of the loaded weights.
  uint32_t ChunksHeld = 0;      ///< Chunks of the wanted set that are here.
  uint32_t ChunksWanted = 0;    ///< Chunks of the wanted set.
  uint64_t BytesPerSecond = 0;  ///< Rate at which chunks arrive lately.
  uint64_t BytesFromOrigin = 0; ///< Good chunks drawn from the origin.
  uint64_t BytesFromPeers = 0;  ///< Good chunks from agents of the domain.
  uint64_t BytesAcross = 0;     ///< Good chunks from other domains.
};

/** Sent both ways on each link at a fixed period. */
struct Heartbeat {
  uint64_t Sequence = 0;    ///< Rises by one on each link.
  Incarnation Run;          ///< Incarnation of the sender.
  ConfigVersion Version;    ///< Configuration in force at the sender.
  Digest ConfigDigest;      ///< Digest of that document.
  bool Leaving = false;     ///< The sender takes no new work.
  bool Fresh = false;       ///< The sender trusts its view; see join_type.h.
  bool Service = false;     ///< The configuration service answers the sender.
  bool SameDigests = false; ///< Digests are left out: as in the one before.
  WorkerLoad Load;          ///< Meaningful from agents only.
};

/** Asks a peer for its configuration document. */
struct ConfigPull {
  ConfigVersion Have; ///< Version in force at the sender.
  bool Probe = false; ///< Only asks whether the peer's view is fresh.
};

/** Answer to ConfigPull. */
struct ConfigPush {
  std::string Text;   ///< The whole document; empty: nothing newer, or a probe.
  bool Fresh = false; ///< The sender trusts its view.
};

/** Asks an agent to run one attempt. */
struct AttemptStart {
  AttemptId Attempt;            ///< Unique for ever.
  RequestId Request;            ///< For logs on all hosts.
  ClassName Class;              ///< Class of work.
  TenantName Tenant;            ///< Whose request it is.
  std::string Body;             ///< Body as the caller sent it.
  uint64_t RemainingMillis = 0; ///< Deadline as time left at sending.
  IdempotencyKey Key;           ///< Empty for repeatable work.
  std::string Token;            ///< Home token of the key; may be empty.
  Digest ResumeOn;              ///< Weights that began the answer, or empty.
  uint64_t ResumeFrom = 0;      ///< Frames that the caller already has.
  bool Alone = false;           ///< Suspected: nothing may run beside it.
};

/** Work at a back end, told with each answer: fresher than heartbeats. */
struct LoadTold {
  uint32_t Busy = 0;  ///< Running and waiting requests.
  uint32_t Limit = 0; ///< Running work allowed; 0: nothing told.
};

/** The attempt was given to the back end. */
struct AttemptBegun {
  AttemptId Attempt; ///< Which attempt.
  Digest Weights;    ///< Weights that produce the answer; empty: none.
  LoadTold Load{};   ///< Work at the sender.
};

/** One piece of an answer. */
struct AnswerFrame {
  AttemptId Attempt;     ///< Which attempt.
  uint64_t Sequence = 0; ///< Counts from ResumeFrom.
  std::string Data;      ///< One token, or a whole plain answer.
};

/** Last message of an answer that is whole. */
struct AnswerEnd {
  AttemptId Attempt;    ///< Which attempt.
  uint64_t Count = 0;   ///< Frames of the whole answer, resumed part included.
  Digest Content;       ///< Digest over all frames of this attempt.
  int32_t Status = 200; ///< Status of a plain service's answer.
  LoadTold Load{};      ///< Work at the sender.
};

/** The attempt ends without a whole answer. */
struct AttemptFailed {
  AttemptId Attempt;                    ///< Which attempt.
  ErrorKind Kind = ErrorKind::Internal; ///< Row of the error table.
  Ran Executed = Ran::Unknown;          ///< Whether the work ran.
  std::string Detail;                   ///< For logs.
  uint64_t RetryAfterMillis = 0;        ///< 0: the table's hint.
  LoadTold Load{};                      ///< Work at the sender.
};

/** The caller gave up; the agent ends the attempt where it can. */
struct AttemptCancel {
  AttemptId Attempt; ///< Which attempt.
};

/** Asks what became of an attempt after its link was lost. */
struct AttemptQuery {
  AttemptId Attempt;      ///< Which attempt.
  uint64_t NextFrame = 0; ///< First frame that the entry lacks.
};

/** What an agent knows of an attempt that was asked after. */
enum class AttemptKnown : uint8_t { NeverSeen, Waiting, Running, Finished };

/**
 * Answer to AttemptQuery. The frames that the entry lacks and, for a finished
 * one, its end are sent again after it. One that was never seen is never run
 * after this answer.
 */
struct AttemptStatus {
  AttemptId Attempt;                            ///< Which attempt.
  AttemptKnown Known = AttemptKnown::NeverSeen; ///< What is known.
  Incarnation Run; ///< Incarnation whose memory says so; 0: none vouches.
};

/** Asks a peer agent for a part of a chunk of weights. */
struct ChunkRequest {
  Digest Chunk;        ///< Which chunk.
  uint64_t Offset = 0; ///< Where the part begins.
  uint64_t Length = 0; ///< Its length; 0: to the end of the chunk.
};

/** Answer to ChunkRequest; empty bytes: not held here. */
struct ChunkData {
  Digest Chunk;        ///< Which chunk.
  std::string Bytes;   ///< The part, checked by the receiver when all are in.
  uint64_t Offset = 0; ///< Where the part begins.
  uint64_t Total = 0;  ///< Size of the whole chunk.
};

/**
 * Tells peers which chunks of a set the sender holds, and which it brings into
 * its domain. Bit n%8 of byte n/8 stands for chunk n.
 */
struct ChunkHave {
  Digest Set;                  ///< Digest of the weights set.
  std::vector<uint8_t> Held;   ///< Chunks that the sender holds.
  std::vector<uint8_t> Coming; ///< Asked of the origin or another domain.
};

/**
 * Tells an agent of the own domain of what chunks a version is made, so that it
 * need not read the list from the origin.
 */
struct ChunkListTold {
  ModelName Model;            ///< Which model.
  std::string Version;        ///< Which version of it.
  uint64_t ChunkBytes = 0;    ///< Size of each chunk but the last.
  std::vector<Digest> Chunks; ///< Its chunks, in order.
};

/** Tells that a request was running when a back end died. */
struct SuspectNotice {
  Digest Fingerprint;     ///< Digest of tenant, class and body.
  std::string DeathId;    ///< Unique for each death, for counting once.
  uint64_t AgeMillis = 0; ///< How long ago the death was.
  bool Alone = false;     ///< The request ran alone: it is the cause.
  bool Cleared = false;   ///< It ran whole since: forget its deaths.
};

/** Tells that a host takes no new work; sent on by whoever hears it. */
struct LeavingNotice {
  HostName Host;          ///< Who leaves.
  Incarnation Run;        ///< Which run of it; 0: the host, whatever runs.
  uint64_t AgeMillis = 0; ///< How long ago that was last confirmed.
};

/**
 * Tells of an entry that the sender has a link to. Where the platform does not
 * list entries they find each other by this, from a few seeds.
 */
struct EntrySeen {
  HostName Name;     ///< Its name.
  DomainName Domain; ///< Its failure domain.
  Address At;        ///< Where it accepts links.
  Address Callers;   ///< Where it takes callers.
};

/**
 * Asks an agent for a place at its back end, for a request that the entry will
 * send there itself.
 */
struct PlaceAsk {
  AttemptId Place;         ///< Unique for ever.
  RequestId Request;       ///< For logs on both hosts.
  TenantName Tenant;       ///< Whose request it is.
  uint32_t Rank = 0;       ///< Urgency; 0 is first.
  uint64_t WaitMillis = 0; ///< Longest wait that is of use.
  /** Time in which the first part of the answer is wanted; 0: it need not come
   * by a set time. The agent knows how long it takes and allows for it. */
  uint64_t FirstPartMillis = 0;
  uint32_t PromptTokens = 0; ///< What the back end reads first; 0: not known.
  /** Refuse unless it can begin at once and no more than this is still to be
   * read; 0: any, and it may wait. */
  uint32_t MostReadingMillis = 0;
  bool Spare = false; ///< Only a place that no request on time needs.
};

/** Answer to PlaceAsk, at once or when its turn has come. */
struct PlaceAnswer {
  AttemptId Place;                     ///< Which place.
  bool Given = false;                  ///< The request may be sent now.
  ErrorKind Why = ErrorKind::Internal; ///< Why not, when it is not given.
  uint64_t RetryAfterMillis = 0;       ///< When there may be room.
  uint32_t ReadingMillis = 0;          ///< Prompts given and not read yet.
  LoadTold Load{};                     ///< Work at the sender.
};

/** The request that had a place, or waited for one, is over. */
struct PlaceDone {
  AttemptId Place;              ///< Which place.
  bool Whole = false;           ///< It was answered to its end.
  bool Sent = false;            ///< It reached the back end.
  uint64_t FirstPartMillis = 0; ///< Time from the place to the first part of
                                ///< the answer; 0: not known.
};

/**
 * Tells the agent of a back end, or other entries, what an answer said of the
 * rate limit that the back end sets for itself.
 */
struct RateHeard {
  AttemptId Place;                 ///< Place of the request; may be empty.
  InstanceId Server;               ///< Which back end.
  std::optional<double> PerSecond; ///< Limit; nothing: the answer named none.
  uint64_t AgeMillis = 0; ///< How long ago the answer came; with no limit: how
                          ///< long ago its request was sent.
};

/** Asks whether the host of an agent runs; answered at once. */
struct Ping {
  uint64_t Sequence = 0; ///< Comes back with the answer.
};

/** Answer to Ping. */
struct Pong {
  uint64_t Sequence = 0; ///< Of the Ping.
};

using Message =
    std::variant<Hello, Heartbeat, ConfigPull, ConfigPush, AttemptStart,
                 AttemptBegun, AnswerFrame, AnswerEnd, AttemptFailed,
                 AttemptCancel, AttemptQuery, AttemptStatus, ChunkRequest,
                 ChunkData, ChunkHave, SuspectNotice, LeavingNotice, EntrySeen,
                 PlaceAsk, PlaceAnswer, PlaceDone, ChunkListTold, Ping, Pong,
                 RateHeard>;

} // namespace jacinthpond

#endif
