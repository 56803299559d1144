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

/** A received chunk with the digest of its actual content. */
struct DigestedChunk {
  Digest Actual;    ///< Digest of Bytes; empty: nothing was received.
  ChunkBytes Bytes; ///< Content, or null.
};

/** What was read from a slot of the engine. */
struct SlotRead {
  ChunkRef Slot;         ///< Its number; Content is what was expected.
  bool Answered = false; ///< False: the engine did not say what is in it.
  DigestedChunk Found;   ///< What is in it; no digest: nothing. Bytes are null
                         ///< if they were only verified.
};

/** Transfer of one content of the wanted set. */
struct ChunkProgress {
  bool Requested = false; ///< Requested from a peer or the origin.
  TimePoint RequestedAt;  ///< When it was requested from a peer.
  bool Importing = false; ///< Requested from the origin or another domain.
  uint32_t HoldersInDomain = 0;  ///< Linked agents of this domain that hold it.
  uint32_t HoldersElsewhere = 0; ///< The same in other domains.
  uint32_t ImportersInDomain = 0;  ///< Linked agents here that import it.
  uint32_t ImportersElsewhere = 0; ///< The same in other domains.
  bool Seen = false;               ///< This host or a linked agent has held it.
  TimePoint SeenSince;             ///< When Seen was set.
  TimePoint RetryAt;       ///< Earliest time of the next request to the origin.
  uint32_t WrongCount = 0; ///< Times that the origin sent other content.
};

/** Record of an agent that sent bad chunks, kept when its link is lost. */
struct Distrust {
  TimePoint Until;       ///< The agent is avoided until then.
  uint32_t Failures = 0; ///< How often it was distrusted.
};

/** A linked agent that chunks are exchanged with. */
struct ChunkPeer {
  HostName Name;              ///< Published name.
  bool SameDomain = true;     ///< In this host's failure domain.
  ChunkHave Announced;        ///< Its latest announcement of chunks.
  std::set<size_t> Requested; ///< Contents requested, not received yet.
  TimePoint LastData;    ///< Last data from it, or first of the open requests.
  Duration ChunkTime{0}; ///< Average time of its chunks; 0: unknown.
  TimePoint AvoidUntil;  ///< Avoided until then after a bad chunk or stall.
  bool Informed = false; ///< It was sent an announcement of this set.
  size_t QueuedUploads = 0;  ///< Its requests queued in Uploads.
  uint64_t BacklogBytes = 0; ///< Bytes sent that the network has not taken yet.
};

/** A queued request of a peer for a chunk. */
struct Upload {
  LinkId Link;         ///< Link to the peer.
  Digest Chunk;        ///< The chunk.
  uint64_t Offset = 0; ///< Start of the requested part.
  uint64_t Length = 0; ///< Its length; 0: to the end of the chunk.
};

/** A chunk that is received from a peer in parts. */
struct PartialChunk {
  LinkId Link;                           ///< Link to the peer.
  std::map<uint64_t, std::string> Parts; ///< Received parts, by offset.
  uint64_t Received = 0;                 ///< Bytes in all parts.
  uint64_t RequestedUpTo = 0; ///< End of the last part that was requested.
  uint64_t Size = 0;          ///< Size of the chunk; 0: not known yet.
};

/** Configuration of the exchange. */
struct TransferOptions {
  bool FromPeers = true;         ///< False: fetch everything from the origin.
  Millis TakeoverDelay{1500};    ///< Delay per rank; see mayFetchFromOrigin().
  double LinkBytesPerSecond = 0; ///< Rate of the own link; 0: unknown.
  double UplinkBytesPerSecond = 0; ///< Configured limit for chunks sent; 0: a
                                   ///< share of the own link.
};

/** Counters of the exchange. */
struct TransferCounters {
  uint64_t BytesFromOrigin = 0;       ///< Valid chunks from the origin.
  uint64_t BytesFromPeers = 0;        ///< Valid chunks from this domain.
  uint64_t BytesFromOtherDomains = 0; ///< Valid chunks from other domains.
  uint64_t BytesSent = 0;             ///< Chunks sent to peers.
  uint64_t BadChunks = 0;             ///< Chunks with a wrong digest.
  uint64_t Repeated = 0; ///< Received chunks that were already held.
  uint64_t Stalls = 0;   ///< Times that a peer with open requests stalled.
};

/** State of the exchange of the chunks of the wanted set. */
struct TransferState {
  TransferOptions Options;       ///< Configuration.
  ChunkPlan Plan;                ///< Workers in fleet order.
  Digest Set;                    ///< The set to fetch.
  TimePoint StartedAt;           ///< When fetching of the set began.
  bool CompletionLogged = false; ///< Completion of the set has been logged.
  size_t SeenCount = 0;          ///< Number of contents with Seen set.
  std::optional<TimePoint> MostSeenSince; ///< When most contents had Seen set.
  std::vector<Digest> Digests; ///< Digests of the chunks of the set, by index.
  ChunkRef Version;            ///< Model, version and origin.
  uint64_t ChunkBytes = 0;     ///< Size of each chunk but the last.
  /** Numbers of the chunks with each content, ascending. The first one stands
   * for the content in Chunks, ToFetch, Partial and the requests. */
  std::map<Digest, std::vector<size_t>> NumbersOf;
  std::vector<ChunkProgress> Chunks;       ///< State of the contents.
  std::set<size_t> Missing;                ///< Chunks that are not in place.
  std::set<size_t> ToFetch;                ///< Contents that are not here.
  std::map<size_t, PartialChunk> Partial;  ///< Contents received in part.
  std::optional<size_t> SlotBeingRead;     ///< Slot that a ReadSlot is for.
  std::map<LinkId, ChunkPeer> Peers;       ///< Linked agents.
  std::map<HostName, Distrust> Distrusted; ///< Agents that sent bad chunks.
  size_t OriginRequests = 0;               ///< Open requests to the origin.
  TimePoint NextWrongRetry; ///< Earliest time of the next request for a content
                            ///< that the origin sent wrongly several times.
  TimePoint OriginPausedUntil; ///< No chunk is fetched from it until then.
  std::deque<Upload> Uploads;  ///< Requests of peers, in order of arrival.
  RateLimit Uplink;            ///< Limit for all chunks sent.
  RateLimit CrossDomain;       ///< Limit for chunks sent to other domains.
  std::map<HostName, TimePoint> LostPeers; ///< When links to agents were lost.
  std::set<size_t> SubstitutedHosts; ///< Hosts whose origin chunks this host
                                     ///< took over, by position in the plan.
  TimePoint LinksSettledAt;        ///< When links should be up after the start.
  TimePoint AvailabilityChangedAt; ///< Last time that a chunk was first seen,
                                   ///< or that the origin failed.
  TimePoint AnnouncedAt;           ///< Last announcement to all peers.
  bool AnnouncementDue = false;    ///< There are changes to announce.
  uint64_t Random = 1;             ///< State of the generator that breaks ties.
  TimePoint RateWindowStart;    ///< Start of the window for measuring the rate.
  uint64_t RateWindowBytes = 0; ///< Bytes received in that window.
  uint64_t BytesPerSecond = 0;  ///< Rate of the last complete window.
  TransferCounters Counters;    ///< Counters since the start.
};

} // namespace jacinthpond

#endif
