/** @file transfer_type.h Exchange of chunks with peers and the origin. */

#ifndef JACINTHPOND_CORE_TRANSFER_TYPE_H
#define JACINTHPOND_CORE_TRANSFER_TYPE_H

#include "base/effect_type.h"
#include "base/rate_limit_type.h"
#include "base/time_type.h"
#include "weights/chunk_plan_type.h"
#include "wire/message_type.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace jacinthpond {

/** A chunk that arrived, with the digest of what really came. */
struct CheckedChunk {
  Digest Actual;    ///< Digest of Bytes; empty: nothing came.
  ChunkBytes Bytes; ///< Content, or null.
};

/** What this host knows of one chunk of the wanted set. */
struct ChunkProgress {
  bool Asked = false;          ///< Asked of a peer or of the origin.
  TimePoint AskedAt;           ///< When it was asked of a peer.
  bool Coming = false;         ///< Asked of the origin or of another domain.
  uint32_t HoldersHere = 0;    ///< Linked agents of this domain that hold it.
  uint32_t HoldersOutside = 0; ///< Linked agents elsewhere that hold it.
  uint32_t ComingHere = 0;     ///< Linked agents of this domain that bring it.
  uint32_t ComingOutside = 0;  ///< Linked agents elsewhere that bring it.
  bool Seen = false;           ///< Was held anywhere in view.
  TimePoint SeenSince;         ///< When it was first seen.
  TimePoint RetryAt;           ///< Earliest time of the next try at the origin.
};

/** An agent that sent bad chunks; outlives its links. */
struct Distrust {
  TimePoint Until;    ///< Left alone until then.
  uint32_t Times = 0; ///< How often that came about.
};

/** One linked agent as a partner in the exchange. */
struct ChunkPeer {
  HostName Name;             ///< Published name.
  bool SameDomain = true;    ///< In this host's failure domain.
  ChunkHave Told;            ///< What it said last that it holds.
  std::set<size_t> Asked;    ///< Chunks asked of it, not come yet.
  TimePoint LastData;        ///< Last chunk from it, or first request.
  Duration ChunkTime{0};     ///< Usual time until a chunk comes; 0: unknown.
  TimePoint AvoidUntil;      ///< Sent a bad chunk or stalled lately.
  bool ToldAll = false;      ///< It knows what this host holds.
  size_t QueuedUploads = 0;  ///< Its requests that wait here.
  uint64_t BacklogBytes = 0; ///< Sent, and not taken by the network yet.
};

/** A request of a peer that waits for the uplink. */
struct Upload {
  LinkId Link;         ///< Who asked.
  Digest Chunk;        ///< For what.
  uint64_t Offset = 0; ///< Where the part begins.
  uint64_t Length = 0; ///< Its length; 0: to the end of the chunk.
};

/** A chunk that comes from a peer part by part. */
struct PartialChunk {
  LinkId Link;                           ///< From whom.
  std::map<uint64_t, std::string> Parts; ///< Parts so far, by offset.
  uint64_t Received = 0;                 ///< Bytes in all parts.
  uint64_t AskedUpTo = 0; ///< End of the last part that was asked for.
};

/** From the settings. */
struct TransferOptions {
  bool FromPeers = true;         ///< False: everything from the origin.
  Millis TakeOver{1500};         ///< Wait of each further rank.
  double LinkBytesPerSecond = 0; ///< Rate of the own link; 0: not known.
};

/** Counters of the exchange. */
struct TransferCounters {
  uint64_t BytesFromOrigin = 0; ///< Good chunks drawn from the origin.
  uint64_t BytesFromPeers = 0;  ///< Good chunks from this domain.
  uint64_t BytesAcross = 0;     ///< Good chunks from other domains.
  uint64_t BytesSent = 0;       ///< Chunks sent to peers.
  uint64_t BadChunks = 0;       ///< Chunks that failed their check.
  uint64_t Repeated = 0;        ///< Chunks that were held already.
  uint64_t Stalls = 0;          ///< Peers whose answers stayed out.
};

/** Exchange of the chunks of the wanted set. */
struct TransferState {
  TransferOptions Options; ///< From the settings.
  ChunkPlan Plan;          ///< Who does what.
  Digest Set;              ///< The set that is exchanged.
  TimePoint Began;         ///< Since when it is.
  bool WholeTold = false;  ///< The log says that it is held whole.
  size_t Seen = 0;         ///< Chunks that were held anywhere in view.
  std::optional<TimePoint> MostSeen;       ///< Since when most of them were.
  std::vector<Digest> Digests;             ///< Its chunks by index.
  ChunkRef Version;                        ///< Model, version and origin.
  uint64_t ChunkBytes = 0;                 ///< Size of each chunk but the last.
  std::map<Digest, size_t> IndexOf;        ///< Index of each chunk.
  std::vector<ChunkProgress> Chunks;       ///< By index.
  std::set<size_t> Missing;                ///< Chunks that are not held.
  std::map<size_t, PartialChunk> Partial;  ///< Chunks that come in parts.
  std::map<LinkId, ChunkPeer> Peers;       ///< Linked agents.
  std::map<HostName, Distrust> Distrusted; ///< Agents that failed.
  size_t Drawing = 0;                      ///< Chunks asked of the origin.
  std::deque<Upload> Uploads;              ///< Requests in order of arrival.
  RateLimit Uplink;                        ///< All chunks sent.
  RateLimit Across;                        ///< Chunks sent to other domains.
  std::map<HostName, TimePoint> Gone;      ///< Since when links are lost.
  std::set<size_t> DrawsFor;   ///< Positions of hosts that are stood in for.
  TimePoint SettledAt;         ///< Links may have come about by then.
  TimePoint LastNews;          ///< A chunk was first seen, or a draw failed.
  TimePoint LastTold;          ///< Peers were told last.
  bool HeldChanged = false;    ///< Something is to be told.
  uint64_t Random = 1;         ///< Breaks ties; seeded by the name.
  TimePoint RateSince;         ///< Start of the rate's window.
  uint64_t RateBytes = 0;      ///< Bytes that came in the window.
  uint64_t BytesPerSecond = 0; ///< Rate in the last whole window.
  TransferCounters Counters;   ///< What happened so far.
};

} // namespace jacinthpond

#endif
