/** @file message_fields.h Order of the fields of each message on the wire.
 *
 * describe(v, message) calls the visitor v(name, field) for each field of the
 * message, in wire order. Encoder and decoder are both such visitors, so that
 * they always agree. Names and order are part of the wire format.
 */

#ifndef JACINTHPOND_CORE_MESSAGE_FIELDS_H
#define JACINTHPOND_CORE_MESSAGE_FIELDS_H

#include "wire/message_type.h"

namespace jacinthpond {

/**
 * @name Field visitors, one overload for each message
 * Calls the visitor for each field of the message, in wire order.
 * @param v Called as v(name, field).
 * @param m Message whose fields are encoded, or filled in by the decoder.
 * @{
 */

template <typename V> void describe(V &v, Hello &m) {
  v("name", m.Name);
  v("role", m.Sender);
  v("run", m.Run);
  v("domain", m.Domain);
  v("version", m.Version);
  v("digest", m.ConfigDigest);
  v("fresh", m.Fresh);
  v("at", m.LinkAddress);
  v("callers", m.CallerAddress);
}

template <typename V> void describe(V &v, EntryNotice &m) {
  v("name", m.Name);
  v("domain", m.Domain);
  v("at", m.LinkAddress);
  v("callers", m.CallerAddress);
}

template <typename V> void describe(V &v, WorkerLoad &m) {
  v("state", m.State);
  v("running", m.Running);
  v("waiting", m.Waiting);
  v("limit", m.Limit);
  v("per_second", m.PerSecond);
  v("key_epoch", m.KeyEpoch);
  v("weights", m.Weights);
  v("held", m.ChunksHeld);
  v("wanted", m.ChunksWanted);
  v("rate", m.BytesPerSecond);
  v("from_origin", m.BytesFromOrigin);
  v("from_peers", m.BytesFromPeers);
  v("across", m.BytesFromOtherDomains);
}

template <typename V> void describe(V &v, LoadReport &m) {
  v("busy", m.Busy);
  v("limit", m.Limit);
}

template <typename V> void describe(V &v, SlotRequest &m) {
  v("place", m.SlotId);
  v("request", m.Request);
  v("tenant", m.Workspace);
  v("rank", m.Rank);
  v("wait", m.WaitMillis);
  v("first_part", m.FirstPartMillis);
  v("prompt", m.PromptTokens);
  v("most_reading", m.MaxPrefillBacklogMillis);
  v("spare", m.SpareOnly);
}

template <typename V> void describe(V &v, SlotAnswer &m) {
  v("place", m.SlotId);
  v("given", m.Granted);
  v("why", m.Why);
  v("retry_after", m.RetryAfterMillis);
  v("reading", m.PrefillBacklogMillis);
  describe(v, m.Load);
}

template <typename V> void describe(V &v, SlotRelease &m) {
  v("place", m.SlotId);
  v("whole", m.IsComplete);
  v("sent", m.Sent);
  v("first_part", m.FirstPartMillis);
}

template <typename V> void describe(V &v, Heartbeat &m) {
  v("seq", m.Sequence);
  v("run", m.Run);
  v("version", m.Version);
  v("digest", m.ConfigDigest);
  v("leaving", m.Leaving);
  v("fresh", m.Fresh);
  v("service", m.ReachesConfigService);
  v("same", m.SameDigests);
  describe(v, m.Load);
}

template <typename V> void describe(V &v, ConfigPull &m) {
  v("have", m.HeldVersion);
  v("probe", m.Probe);
}

template <typename V> void describe(V &v, ConfigPush &m) {
  v("text", m.Text);
  v("fresh", m.Fresh);
}

template <typename V> void describe(V &v, AttemptStart &m) {
  v("attempt", m.Attempt);
  v("request", m.Request);
  v("class", m.Class);
  v("tenant", m.Workspace);
  v("body", m.Body);
  v("remaining", m.RemainingMillis);
  v("key", m.Key);
  v("token", m.Token);
  v("resume_on", m.ResumeOn);
  v("resume_from", m.ResumeFrom);
  v("alone", m.MustRunAlone);
}

template <typename V> void describe(V &v, AttemptStarted &m) {
  v("attempt", m.Attempt);
  v("weights", m.Weights);
  describe(v, m.Load);
}

template <typename V> void describe(V &v, AnswerFrame &m) {
  v("attempt", m.Attempt);
  v("seq", m.Sequence);
  v("data", m.Data);
}

template <typename V> void describe(V &v, AnswerEnd &m) {
  v("attempt", m.Attempt);
  v("count", m.Count);
  v("content", m.Content);
  v("status", m.Status);
  describe(v, m.Load);
}

template <typename V> void describe(V &v, AttemptFailed &m) {
  v("attempt", m.Attempt);
  v("kind", m.Kind);
  v("ran", m.Executed);
  v("detail", m.Detail);
  v("retry_after", m.RetryAfterMillis);
  describe(v, m.Load);
}

template <typename V> void describe(V &v, AttemptCancel &m) {
  v("attempt", m.Attempt);
}

template <typename V> void describe(V &v, AttemptQuery &m) {
  v("attempt", m.Attempt);
  v("next", m.NextFrame);
}

template <typename V> void describe(V &v, AttemptStatus &m) {
  v("attempt", m.Attempt);
  v("known", m.Known);
  v("run", m.Run);
}

template <typename V> void describe(V &v, ChunkRequest &m) {
  v("chunk", m.Chunk);
  v("offset", m.Offset);
  v("length", m.Length);
}

template <typename V> void describe(V &v, ChunkData &m) {
  v("chunk", m.Chunk);
  v("bytes", m.Bytes);
  v("offset", m.Offset);
  v("total", m.Total);
}

template <typename V> void describe(V &v, ChunkHave &m) {
  v("set", m.Set);
  v("held", m.Held);
  v("coming", m.Imports);
}

template <typename V> void describe(V &v, ChunkListNotice &m) {
  v("model", m.Model);
  v("version", m.Version);
  v("chunk_bytes", m.ChunkBytes);
  v("chunks", m.Chunks);
}

template <typename V> void describe(V &v, RateLimitNotice &m) {
  v("place", m.SlotId);
  v("server", m.Server);
  v("per_second", m.PerSecond);
  v("age", m.AgeMillis);
}

template <typename V> void describe(V &v, ServerLeavingNotice &m) {
  v("server", m.Server);
  v("born", m.Born);
}

template <typename V> void describe(V &v, Ping &m) { v("seq", m.Sequence); }

template <typename V> void describe(V &v, Pong &m) { v("seq", m.Sequence); }

template <typename V> void describe(V &v, SuspectNotice &m) {
  v("fingerprint", m.Fingerprint);
  v("death", m.DeathId);
  v("age", m.AgeMillis);
  v("alone", m.WasAlone);
  v("cleared", m.Cleared);
  v("request", m.Request);
}

template <typename V> void describe(V &v, LeavingNotice &m) {
  v("host", m.Host);
  v("run", m.Run);
  v("age", m.AgeMillis);
}

/** @} */

} // namespace jacinthpond

#endif
