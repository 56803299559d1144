/** @file message_type.h Messages between entries and agents.
 *
 * Entries open links to agents and to other entries; agents open links to other
 * agents. Each message is sent as one CBOR list, which message_codec converts
 * from and to these structs. Each message has one describe() function, in
 * message_fields.h, which lists its fields for both encoding and decoding.
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

/** Which program a process runs. */
enum class Role : uint8_t { Entry, Agent };

/** Readiness of a back end. */
enum class WorkerState : uint8_t {
  Empty,   ///< Weights are incomplete, or the back end is down.
  Loading, ///< Fetches or loads weights.
  Warming, ///< Serves with a reduced concurrency limit.
  Serving, ///< Serves with its full concurrency limit.
  Leaving, ///< Completes its requests and takes no new ones.
};

/** First message that each side sends on a link. */
struct Hello {
  HostName Name;             ///< Published name of the sender.
  Role Sender = Role::Entry; ///< Program of the sender.
  Incarnation Run;       ///< Incarnation; new at each start and after a pause.
  DomainName Domain;     ///< Failure domain of the sender.
  ConfigVersion Version; ///< Configuration in force at the sender.
  Digest ConfigDigest;   ///< Digest of that document.
  bool Fresh = false;    ///< The sender's view is fresh; see join_type.h.
  Address LinkAddress;   ///< Address that accepts links; empty: not given.
  Address CallerAddress; ///< Address for callers; set by entries only.
};

/** Load and state of one back end, reported by its agent. */
struct WorkerLoad {
  WorkerState State = WorkerState::Empty; ///< Readiness.
  uint32_t Running = 0;                   ///< Requests that the back end runs.
  uint32_t Waiting = 0;                   ///< Requests in the agent's queue.
  uint32_t Limit = 0;              ///< Current concurrency limit, in requests.
  std::optional<double> PerSecond; ///< Rate limit, requests/s; nullopt: none.
  uint64_t KeyEpoch = 0;       ///< Idempotency key epoch, named by home tokens.
  Digest Weights;              ///< Digest of the loaded weights.
  uint32_t ChunksHeld = 0;     ///< Chunks of the wanted set held by the agent.
  uint32_t ChunksWanted = 0;   ///< Chunks of the wanted set.
  uint64_t BytesPerSecond = 0; ///< Recent rate of chunk data received.
  /** Bytes of verified chunks fetched from the origin. */
  uint64_t BytesFromOrigin = 0;
  /** Bytes of verified chunks received from agents of the same domain. */
  uint64_t BytesFromPeers = 0;
  /** Bytes of verified chunks received from agents of other domains. */
  uint64_t BytesFromOtherDomains = 0;
};

/** Sent by both sides of each link at a fixed period. */
struct Heartbeat {
  uint64_t Sequence = 0; ///< Increases by one with each heartbeat of a link.
  Incarnation Run;       ///< Incarnation of the sender.
  ConfigVersion Version; ///< Configuration in force at the sender.
  Digest ConfigDigest;   ///< Digest of that document.
  bool Leaving = false;  ///< The sender takes no new requests.
  bool Fresh = false;    ///< The sender's view is fresh; see join_type.h.
  bool ReachesConfigService =
      false;                ///< The sender reaches the configuration service.
  bool SameDigests = false; ///< Digests are omitted: same as in the last one.
  WorkerLoad Load;          ///< Set by agents only.
};

/** Requests a peer's configuration document. */
struct ConfigPull {
  ConfigVersion HeldVersion; ///< Version in force at the sender.
  bool Probe = false;        ///< Only checks whether the peer's view is fresh.
};

/** Answer to ConfigPull. */
struct ConfigPush {
  std::string Text;   ///< Complete document; empty: none newer, or a probe.
  bool Fresh = false; ///< The sender's view is fresh.
};

/** Requests that an agent run one attempt. */
struct AttemptStart {
  AttemptId Attempt;            ///< Globally unique; never reused.
  RequestId Request;            ///< Correlates log lines across hosts.
  ClassName Class;              ///< Class of the request.
  WorkspaceName Workspace;      ///< Workspace that the request belongs to.
  std::string Body;             ///< Request body, unchanged.
  uint64_t RemainingMillis = 0; ///< Time left until the deadline when sent.
  IdempotencyKey Key;           ///< Idempotency key; empty: safe to repeat.
  std::string Token;            ///< Home token of the key; may be empty.
  Digest ResumeOn;              ///< Weights required to resume; empty: any.
  uint64_t ResumeFrom = 0;   ///< Frames that the caller has received already.
  bool MustRunAlone = false; ///< Must run alone, as it may crash the back end.
};

/** Load of a back end, sent with each answer to be newer than heartbeats. */
struct LoadReport {
  uint32_t Busy = 0;  ///< Running and waiting requests.
  uint32_t Limit = 0; ///< Concurrency limit; 0: no load reported.
};

/** Reports that an attempt was sent to the back end. */
struct AttemptStarted {
  AttemptId Attempt; ///< The attempt.
  Digest Weights;    ///< Weights that produce the answer; empty: none.
  LoadReport Load{}; ///< Load of the back end.
};

/** One frame of an answer. */
struct AnswerFrame {
  AttemptId Attempt;     ///< The attempt.
  uint64_t Sequence = 0; ///< Position in the answer; starts at ResumeFrom.
  std::string Data;      ///< One token, or the complete answer of a service.
};

/** Last message of a complete answer. */
struct AnswerEnd {
  AttemptId Attempt;    ///< The attempt.
  uint64_t Count = 0;   ///< Frames of the answer, with those before ResumeFrom.
  Digest Content;       ///< Digest of all frames of this attempt.
  int32_t Status = 200; ///< HTTP status of a service's answer.
  LoadReport Load{};    ///< Load of the back end.
};

/** Reports that an attempt ended without a complete answer. */
struct AttemptFailed {
  AttemptId Attempt;                    ///< The attempt.
  ErrorKind Kind = ErrorKind::Internal; ///< Row of the error table.
  Ran Executed = Ran::Unknown;          ///< Whether the back end executed it.
  std::string Detail;                   ///< For logs.
  uint64_t RetryAfterMillis = 0;        ///< 0: default of the error table.
  LoadReport Load{};                    ///< Load of the back end.
};

/** Cancels an attempt whose caller has gone, where the back end can do so. */
struct AttemptCancel {
  AttemptId Attempt; ///< The attempt.
};

/** Requests the state of an attempt whose link was lost. */
struct AttemptQuery {
  AttemptId Attempt;      ///< The attempt.
  uint64_t NextFrame = 0; ///< First frame that the entry has not received.
};

/** State of an attempt according to its agent. */
enum class KnownAttemptState : uint8_t {
  NeverSeen,
  Waiting,
  Running,
  Finished
};

/**
 * Answer to AttemptQuery. The agent then resends the frames that the entry has
 * not received and, if the attempt is finished, its end. After answering
 * NeverSeen the agent never runs the attempt.
 */
struct AttemptStatus {
  AttemptId Attempt; ///< The attempt.
  KnownAttemptState Known =
      KnownAttemptState::NeverSeen; ///< State of the attempt.
  Incarnation Run; ///< Incarnation of the agent; 0: its records of ended
                   ///< attempts are incomplete, so NeverSeen may be wrong.
};

/** Requests a part of a weights chunk from a peer agent. */
struct ChunkRequest {
  Digest Chunk;        ///< Digest of the chunk.
  uint64_t Offset = 0; ///< Offset of the part, in bytes.
  uint64_t Length = 0; ///< Length of the part; 0: to the end of the chunk.
};

/** Answer to ChunkRequest. No bytes: the sender does not hold the chunk. */
struct ChunkData {
  Digest Chunk;        ///< Digest of the chunk.
  std::string Bytes;   ///< The part; the receiver verifies the complete chunk.
  uint64_t Offset = 0; ///< Offset of the part, in bytes.
  uint64_t Total = 0;  ///< Size of the chunk, in bytes.
};

/**
 * Announces which chunks of a set the sender holds and which it is fetching
 * into its domain. Bit n%8 of byte n/8 represents chunk n.
 */
struct ChunkHave {
  Digest Set;                ///< Digest that identifies the weights set.
  std::vector<uint8_t> Held; ///< Bitmap of chunks that the sender holds.
  /** Bitmap of chunks requested from the origin or from another domain. */
  std::vector<uint8_t> Imports;
};

/**
 * Sends the chunk list of a version to an agent of the same domain, which then
 * need not read it from the origin.
 */
struct ChunkListNotice {
  ModelName Model;            ///< Name of the model.
  std::string Version;        ///< Version of the model.
  uint64_t ChunkBytes = 0;    ///< Size of each chunk except the last.
  std::vector<Digest> Chunks; ///< Digests of the chunks, in order.
};

/** Reports a request, or a part of its prompt, that was running when a back end
 * crashed. */
struct SuspectNotice {
  Digest Fingerprint;     ///< Digest of the request's content, or of the part.
  std::string DeathId;    ///< Identifies the crash, so that it counts once.
  uint64_t AgeMillis = 0; ///< Time since the crash.
  bool WasAlone = false;  ///< The request ran alone, so it caused the crash.
  bool Cleared = false;   ///< It has completed since: discard its crashes.
  Digest Request = {};    ///< Request with the part; empty: no part.
};

/** Reports that a host takes no new requests; each receiver forwards it. */
struct LeavingNotice {
  HostName Host;          ///< The leaving host.
  Incarnation Run;        ///< Its incarnation; 0: all incarnations.
  uint64_t AgeMillis = 0; ///< Time since this was last confirmed.
};

/**
 * Announces an entry that the sender has a link to. Where the platform does not
 * list entries, they discover each other by these messages, starting from the
 * seed peers.
 */
struct EntryNotice {
  HostName Name;         ///< Name of the entry.
  DomainName Domain;     ///< Failure domain of the entry.
  Address LinkAddress;   ///< Address that accepts links.
  Address CallerAddress; ///< Address for callers.
};

/**
 * Requests a slot from the agent of a back end, for a request that the entry
 * then sends to the back end itself.
 */
struct SlotRequest {
  AttemptId SlotId;        ///< Globally unique; never reused.
  RequestId Request;       ///< Correlates log lines across hosts.
  WorkspaceName Workspace; ///< Workspace that the request belongs to.
  uint32_t Rank = 0;       ///< Priority; 0 is the highest.
  uint64_t WaitMillis = 0; ///< Maximum wait for the slot.
  /** Time until the first part of the answer is due; 0: no limit. The agent
   * subtracts the time that the back end usually takes for it. */
  uint64_t FirstPartMillis = 0;
  uint32_t PromptTokens = 0; ///< Length of the prompt; 0: not known.
  /** Refuse unless the request can start at once and the prefill backlog is at
   * most this long; 0: no limit, and the request may wait. */
  uint32_t MaxPrefillBacklogMillis = 0;
  bool SpareOnly = false; ///< Only take a slot that no on-time request needs.
};

/** Answer to SlotRequest, sent at once or after waiting in the queue. */
struct SlotAnswer {
  AttemptId SlotId;                    ///< Slot from the request.
  bool Granted = false;                ///< The request may be sent now.
  ErrorKind Why = ErrorKind::Internal; ///< Reason of a refusal.
  uint64_t RetryAfterMillis = 0;       ///< Time until a slot may be free.
  uint32_t PrefillBacklogMillis = 0;   ///< Prefill backlog of the back end.
  LoadReport Load{};                   ///< Load of the back end.
};

/** Releases a slot, or withdraws the request for one. */
struct SlotRelease {
  AttemptId SlotId;             ///< Slot from the request.
  bool IsComplete = false;      ///< The answer is complete.
  bool Sent = false;            ///< The request reached the back end.
  uint64_t FirstPartMillis = 0; ///< Time from the grant to the first part of
                                ///< the answer; 0: not known.
};

/**
 * Reports the rate limit that a back end stated in an answer, to the agent of
 * the back end or to other entries.
 */
struct RateLimitNotice {
  AttemptId SlotId;                ///< Slot of the request; may be empty.
  InstanceId Server;               ///< Back end that the limit applies to.
  std::optional<double> PerSecond; ///< Requests/s; nullopt: none was stated.
  uint64_t AgeMillis = 0; ///< Time since the answer arrived; without a limit:
                          ///< since its request was sent.
};

/** Reports that a back end said in an answer that it is shutting down. It binds
 * only the host that got the answer; others prefer other back ends. */
struct ServerLeavingNotice {
  InstanceId Server; ///< The back end.
  uint64_t Born = 0; ///< Start of its run, Unix milliseconds; 0: unknown.
};

/** Checks whether an agent's host is responsive; answered at once. */
struct Ping {
  uint64_t Sequence = 0; ///< Returned in the Pong.
};

/** Answer to Ping. */
struct Pong {
  uint64_t Sequence = 0; ///< Sequence of the Ping.
};

/** Any message; the order gives the index into MessageNames. */
using Message = std::variant<
    Hello, Heartbeat, ConfigPull, ConfigPush, AttemptStart, AttemptStarted,
    AnswerFrame, AnswerEnd, AttemptFailed, AttemptCancel, AttemptQuery,
    AttemptStatus, ChunkRequest, ChunkData, ChunkHave, SuspectNotice,
    LeavingNotice, EntryNotice, SlotRequest, SlotAnswer, SlotRelease,
    ChunkListNotice, Ping, Pong, RateLimitNotice, ServerLeavingNotice>;

} // namespace jacinthpond

#endif
