/** @file document_type.h The published configuration document. */

#ifndef JACINTHPOND_CORE_DOCUMENT_TYPE_H
#define JACINTHPOND_CORE_DOCUMENT_TYPE_H

#include "base/ids_type.h"
#include "base/time_type.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jacinthpond {

/** Kind of back end that serves a class. */
enum class BackEndKind : uint8_t { Model, Service };

/** A class of work: what serves it, and its latency targets. */
struct WorkClass {
  ClassName Name;                        ///< Name in the request path.
  BackEndKind Kind = BackEndKind::Model; ///< Which of the next two is set.
  ModelName Model;                       ///< Model that serves it.
  ServiceName Service;                   ///< Plain service that serves it.
  bool Repeatable = true;                ///< False: runs at most once per key.
  uint32_t Priority = 1;                 ///< Higher is served first.
  Millis FirstToken{1400};               ///< Target for the first token.
  Millis BetweenTokens{41};              ///< Target between tokens.
  Millis Deadline{30000};                ///< Longest time a caller waits.
  double ServingShare = 0.5; ///< Least share of workers serving in a rollout.

  bool operator==(const WorkClass &) const = default;
};

/** A customer's workspace. */
struct Workspace {
  WorkspaceName Name;            ///< Name in the request header.
  uint32_t Weight = 1;           ///< Share relative to other workspaces.
  std::vector<std::string> Keys; ///< API keys of its callers.
  std::optional<uint32_t> Rank;  ///< Overrides a route's; 0 is first.
  std::set<RegionName> Regions;  ///< Where its work may run; empty: anywhere.

  bool operator==(const Workspace &) const = default;
};

/** One version of a model, as chunks. */
struct ModelVersion {
  ModelName Name;             ///< Model.
  std::string Version;        ///< For display; the digest decides.
  std::vector<Digest> Chunks; ///< SHA-256 of each chunk, in order.
  uint64_t ChunkBytes = 0;    ///< Size of each chunk but the last.
  uint64_t TotalBytes = 0;    ///< Size of all chunks.
  Digest Set;                 ///< Identifies the weights; derived.
  Address Origin; ///< Where its chunk list is read; empty: Chunks has it.

  bool operator==(const ModelVersion &) const = default;
};

/** A worker: a backend server with its agent. */
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

/** Whether the requests of a route may be repeated. */
enum class RouteKind : uint8_t {
  Idempotent, ///< May run more than once.
  AtMostOnce, ///< Must not run more than once.
  Stream      ///< Answered by events; resumed only where allowed.
};

/** One of the services among which a route's requests are split. */
struct RouteTarget {
  ServiceName Service; ///< Which service.
  double Weight = 1;   ///< Share relative to the other targets.

  bool operator==(const RouteTarget &) const = default;
};

/** A rule for requests that are forwarded unchanged, and their targets. */
struct Route {
  std::string Name;                       ///< For logs and metrics.
  std::string Host;                       ///< Host header of its requests.
  std::string Prefix;                     ///< Begins and ends with a slash.
  RouteKind Kind = RouteKind::AtMostOnce; ///< What may be repeated.
  bool Resumable = false;   ///< A stream may resume at another back end.
  bool Anonymous = false;   ///< Callers need no API key.
  uint32_t MaxAttempts = 1; ///< Back ends tried for one request.
  Millis Timeout{0};        ///< Longest wait for the whole answer.
  Millis Target{0};         ///< Target for the first byte.
  Millis GapTarget{0};      ///< Target between events.
  Millis LongestSilence{0}; ///< Callers abandon a silent stream; 0: never.
  uint32_t Rank = 0;        ///< Urgency; 0 is first.
  std::vector<RouteTarget> Targets; ///< Services, at least one.
  std::set<RegionName> Regions;     ///< Where it may run; empty: anywhere.

  bool operator==(const Route &) const = default;
};

/** A service that routes lead to. */
struct Service {
  ServiceName Name;            ///< Unique.
  ModelName Model;             ///< Model it runs; empty for a plain service.
  uint32_t MaxConnections = 0; ///< Connections a back end supports; 0: unknown.
  double PromptTokensPerSecond =
      0;                    ///< Prompt tokens per back end; 0: unlimited.
  double ColdPerSecond = 0; ///< Requests per cold back end; 0: unlimited.

  bool operator==(const Service &) const = default;
};

/** One running back end of a service. */
struct BackEndServer {
  InstanceId Id;         ///< Usually new with each start.
  ServiceName Service;   ///< What it serves.
  Address At;            ///< Where it takes requests.
  DomainName Domain;     ///< Failure domain.
  uint32_t Slots = 0;    ///< Requests it serves concurrently.
  bool Draining = false; ///< Takes no new work.
  Millis ColdFor{0};     ///< Remaining time to warm up, as it reported.
  Digest Weights;        ///< Weights it reported as loaded; empty: none.
  uint64_t Born = 0; ///< Unix milliseconds of its start; 0: unknown. Tells runs
                     ///< under the same id apart.

  bool operator==(const BackEndServer &) const = default;
};

/** Limits on what callers send. */
struct CallerLimits {
  uint32_t MaxHeadBytes = 16384;   ///< Request line and headers.
  uint32_t MaxBodyBytes = 4 << 20; ///< Body.
  Millis HeadTimeout{3000};        ///< Time for the whole head to arrive.
  Millis IdleTimeout{15000};       ///< Idle time of a kept connection.

  bool operator==(const CallerLimits &) const = default;
};

/** A team that uses the administration API. */
struct Team {
  std::string Name;                   ///< For display and logs.
  Digest TokenDigest;                 ///< SHA-256 of the team's token.
  bool Operator = false;              ///< Sees everything.
  std::set<ClassName> Classes;        ///< Classes that the team sees.
  std::set<WorkspaceName> Workspaces; ///< Workspaces that the team sees.

  bool operator==(const Team &) const = default;
};

/** The whole document, after validation. */
struct Document {
  ConfigVersion Version;              ///< Rises with each publication.
  Digest ContentDigest;               ///< Digest of the published text.
  std::string Text;                   ///< The text as published.
  std::vector<WorkClass> Classes;     ///< All classes of work.
  std::vector<Workspace> Workspaces;  ///< All workspaces.
  std::vector<ModelVersion> Models;   ///< Wanted version of each model.
  std::vector<Worker> Workers;        ///< All backend server hosts.
  std::vector<EntryHost> Entries;     ///< All entry hosts.
  std::set<DomainName> DomainsOut;    ///< Domains taken out.
  std::vector<Team> Teams;            ///< Users of the administration API.
  std::vector<Route> Routes;          ///< Rules for forwarded requests.
  std::vector<Service> Services;      ///< What routes lead to.
  std::vector<BackEndServer> Servers; ///< Back ends of these services.
  CallerLimits Limits;                ///< Of callers on routes.
  std::map<DomainName, RegionName> RegionOf; ///< Region of each domain.
  Millis RetryHorizon{30000}; ///< How long a caller may retry with a key.
};

/** A shared document; immutable once it was parsed. */
using DocumentPtr = std::shared_ptr<const Document>;

} // namespace jacinthpond

#endif
