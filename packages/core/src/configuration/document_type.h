/** @file document_type.h The published configuration document. */

#ifndef JACINTHPOND_CORE_DOCUMENT_TYPE_H
#define JACINTHPOND_CORE_DOCUMENT_TYPE_H

#include "base/ids_type.h"
#include "base/time_type.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace jacinthpond {

/** What kind of back end serves a class. */
enum class BackEndKind : uint8_t { Model, Service };

/** A class of work with its targets. */
struct WorkClass {
  ClassName Name;                        ///< Name in callers' paths.
  BackEndKind Kind = BackEndKind::Model; ///< Which of the next two is set.
  ModelName Model;                       ///< Model that serves it.
  ServiceName Service;                   ///< Plain service that serves it.
  bool Repeatable = true;                ///< False: runs at most once a key.
  uint32_t Priority = 1;                 ///< Higher is served first.
  Millis FirstToken{1400};               ///< Target for the first token.
  Millis BetweenTokens{41};              ///< Target between tokens.
  Millis Deadline{30000};                ///< Longest wait of a caller.
  double ServingShare = 0.5; ///< Share of workers that serve in a rollout.

  bool operator==(const WorkClass &) const = default;
};

/** A customer's workspace. */
struct Tenant {
  TenantName Name;     ///< Name in callers' headers.
  uint32_t Weight = 1; ///< Share relative to other tenants.

  bool operator==(const Tenant &) const = default;
};

/** One version of a model, as chunks. */
struct ModelVersion {
  ModelName Name;             ///< Model.
  std::string Version;        ///< For people; the digest decides.
  std::vector<Digest> Chunks; ///< SHA-256 of each chunk, in order.
  uint64_t ChunkBytes = 0;    ///< Size of each chunk but the last.
  uint64_t TotalBytes = 0;    ///< Size of all chunks.
  Digest Set;                 ///< Digest over the chunk digests; derived.

  bool operator==(const ModelVersion &) const = default;
};

/** A backend server host. */
struct Worker {
  HostName Name;       ///< Unique among workers and entries.
  DomainName Domain;   ///< Failure domain.
  Address Agent;       ///< Peer address of its agent.
  ModelName Model;     ///< Model it runs; empty for a plain service.
  ServiceName Service; ///< Plain service it runs; empty for a model.

  bool operator==(const Worker &) const = default;
};

/** An entry host. */
struct EntryHost {
  HostName Name;     ///< Unique among workers and entries.
  DomainName Domain; ///< Failure domain.
  Address Callers;   ///< Where callers connect.
  Address Peers;     ///< Where other entries connect.

  bool operator==(const EntryHost &) const = default;
};

/** A team that uses the administration API. */
struct Team {
  std::string Name;             ///< For people and logs.
  Digest TokenDigest;           ///< SHA-256 of the team's token.
  bool Operator = false;        ///< Sees everything.
  std::set<ClassName> Classes;  ///< Classes that the team sees.
  std::set<TenantName> Tenants; ///< Tenants that the team sees.

  bool operator==(const Team &) const = default;
};

/** The whole document, after validation. */
struct Document {
  ConfigVersion Version;            ///< Rises with each publication.
  Digest ContentDigest;             ///< Digest of the published text.
  std::string Text;                 ///< The text as published.
  std::vector<WorkClass> Classes;   ///< All classes of work.
  std::vector<Tenant> Tenants;      ///< Known tenants.
  std::vector<ModelVersion> Models; ///< Wanted version of each model.
  std::vector<Worker> Workers;      ///< All backend server hosts.
  std::vector<EntryHost> Entries;   ///< All entry hosts.
  std::set<DomainName> DomainsOut;  ///< Domains taken out.
  std::vector<Team> Teams;          ///< Users of the administration API.
  Millis RetryHorizon{30000};       ///< Longest time a caller repeats a key.
};

/** Shared, never changed after it was accepted. */
using DocumentPtr = std::shared_ptr<const Document>;

} // namespace jacinthpond

#endif
