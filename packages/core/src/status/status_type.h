/** @file status_type.h What operators are shown of the fleet. */

#ifndef JACINTHPOND_CORE_STATUS_TYPE_H
#define JACINTHPOND_CORE_STATUS_TYPE_H

#include "base/error_type.h"
#include "base/ids_type.h"
#include "base/time_type.h"
#include "wire/message_type.h"

#include <map>
#include <string>
#include <vector>

namespace jacinthpond {

/** The configuration in force at one process. */
struct ProcessStatus {
  HostName Name;           ///< Published name.
  Role Kind = Role::Entry; ///< What it is.
  DomainName Domain;       ///< Its failure domain.
  bool Seen = false;       ///< It told this entry; else the rest is empty.
  ConfigVersion Version;   ///< Version in force there.
  Digest ConfigDigest;     ///< Digest of that document.
  Millis InForceFor{0};    ///< Since when, as far as this entry has seen.
};

/** One worker. */
struct WorkerStatus {
  HostName Name;        ///< Published name.
  DomainName Domain;    ///< Its failure domain.
  ModelName Model;      ///< Model it runs; may be empty.
  ServiceName Service;  ///< Plain service it runs; may be empty.
  bool Seen = false;    ///< This entry has a link to its agent.
  bool Leaving = false; ///< It takes no new work.
  WorkerLoad Load;      ///< Last load told.
};

/** One failure domain. */
struct DomainStatus {
  DomainName Name;      ///< Its name.
  bool Out = false;     ///< Operators have taken it out.
  uint32_t Workers = 0; ///< Published workers.
  uint32_t Serving = 0; ///< Workers that take work.
  uint32_t Unseen = 0;  ///< Workers without a link to this entry.
  uint32_t Running = 0; ///< Requests in back ends.
  uint32_t Waiting = 0; ///< Requests in agents' queues.
};

/** How far the wanted version of a model has spread. */
struct ModelStatus {
  ModelName Name;            ///< Its name.
  std::string Version;       ///< Wanted version.
  Digest Set;                ///< Digest of the wanted weights.
  uint32_t Workers = 0;      ///< Workers of the model.
  uint32_t Loaded = 0;       ///< Workers whose back end has the wanted set.
  uint64_t ChunksHeld = 0;   ///< Chunks of it that they hold.
  uint64_t ChunksWanted = 0; ///< Chunks that they need.
};

/** One class of work. */
struct ClassStatus {
  ClassName Name;       ///< Its name.
  uint32_t Workers = 0; ///< Workers that serve it when all is well.
  uint32_t Serving = 0; ///< Workers that take work now.
  uint32_t Running = 0; ///< Requests in their back ends.
  uint32_t Waiting = 0; ///< Requests in their agents' queues.
  uint32_t Limit = 0;   ///< Requests that they may run now.
};

/** One customer's workspace. */
struct TenantStatus {
  TenantName Name;           ///< Its name.
  uint32_t OpenRequests = 0; ///< Requests open at this entry.
};

/** A request that is held apart because back ends died of it. */
struct SuspectStatus {
  Digest Fingerprint;   ///< Digest of tenant, class and body.
  size_t Deaths = 0;    ///< Deaths at which it was running.
  bool Proven = false;  ///< It ran alone at one of them.
  Millis RefusedFor{0}; ///< Time for which it is refused; 0: it runs alone.
};

/** What this entry refused. */
struct RefusalStatus {
  std::map<ErrorKind, uint64_t> Errors; ///< Final errors of each kind.
  uint64_t DocumentsRefused = 0;        ///< Invalid documents seen.
  uint64_t DocumentConflicts = 0;       ///< Versions published twice.
  std::string LastRefusal;              ///< Faults of the last one.
  std::vector<SuspectStatus> Suspects;  ///< Requests held apart.
};

/** Everything, as one entry sees it and one team may see it. */
struct FleetStatus {
  ProcessStatus Self;                   ///< This entry.
  size_t OpenRequests = 0;              ///< Requests open at this entry.
  std::vector<DomainStatus> Domains;    ///< All failure domains.
  std::vector<ModelStatus> Models;      ///< Models of visible classes.
  std::vector<ClassStatus> Classes;     ///< Visible classes.
  std::vector<WorkerStatus> Workers;    ///< Workers of visible classes.
  std::vector<TenantStatus> Tenants;    ///< Visible tenants.
  std::vector<ProcessStatus> Processes; ///< Operators only.
  RefusalStatus Refusals;               ///< Operators only.
};

} // namespace jacinthpond

#endif
