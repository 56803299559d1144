/** @file status_type.h Status of the fleet for the administration API. */

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

/** Configuration in force at one process. */
struct ProcessStatus {
  HostName Name;           ///< Published name.
  Role Kind = Role::Entry; ///< Entry or agent.
  DomainName Domain;       ///< Its failure domain.
  bool Seen = false;       ///< It has a ready link; else the rest is empty.
  ConfigVersion Version;   ///< Version in force there.
  Digest ConfigDigest;     ///< Digest of the document in force there.
  Millis InForceFor{0};    ///< Time in force, as far as this entry has seen.
};

/** One worker. */
struct WorkerStatus {
  HostName Name;        ///< Published name.
  DomainName Domain;    ///< Its failure domain.
  ModelName Model;      ///< Model that it runs; may be empty.
  ServiceName Service;  ///< Service that it runs; may be empty.
  bool Seen = false;    ///< This entry has a ready link to its agent.
  bool Leaving = false; ///< It takes no new work.
  WorkerLoad Load;      ///< Last load that it reported.
};

/** One failure domain. */
struct DomainStatus {
  DomainName Name;      ///< Its name.
  bool Out = false;     ///< Taken out of service by operators.
  uint32_t Workers = 0; ///< Workers in the document.
  uint32_t Serving = 0; ///< Workers that take work.
  uint32_t Unseen = 0;  ///< Workers without a ready link to this entry.
  uint32_t Running = 0; ///< Requests in back ends.
  uint32_t Waiting = 0; ///< Requests in agents' queues.
};

/** Progress of loading the wanted version of a model. */
struct ModelStatus {
  ModelName Name;            ///< Its name.
  std::string Version;       ///< Wanted version.
  Digest Set;                ///< Digest of the wanted weights.
  uint32_t Workers = 0;      ///< Workers of the model.
  uint32_t Loaded = 0;       ///< Workers whose back end has the wanted set.
  uint64_t ChunksHeld = 0;   ///< Chunks of the wanted set that they hold.
  uint64_t ChunksWanted = 0; ///< Chunks that they need in total.
};

/** One class. */
struct ClassStatus {
  ClassName Name;       ///< Its name.
  uint32_t Workers = 0; ///< Workers that are configured to serve it.
  uint32_t Serving = 0; ///< Workers that take work now.
  uint32_t Running = 0; ///< Requests in their back ends.
  uint32_t Waiting = 0; ///< Requests in their agents' queues.
  uint32_t Limit = 0;   ///< Sum of their current limits.
};

/** One workspace. */
struct WorkspaceStatus {
  WorkspaceName Name;        ///< Its name.
  uint32_t OpenRequests = 0; ///< Requests open at this entry.
};

/**
 * A request that is run alone or refused because back ends failed while they
 * ran it.
 */
struct SuspectStatus {
  Digest Fingerprint;   ///< Digest of workspace, class and body.
  size_t Deaths = 0;    ///< Back-end failures at which it was running.
  bool Proven = false;  ///< It was the only running request at one of them.
  Millis RefusedFor{0}; ///< Remaining time refused; 0 when it runs alone.
};

/** What this entry refused. */
struct RefusalStatus {
  std::map<ErrorKind, uint64_t> Errors; ///< Final errors of each kind.
  uint64_t DocumentsRefused = 0;        ///< Invalid documents seen.
  uint64_t DocumentConflicts = 0;       ///< Versions published twice.
  std::string LastRefusal;             ///< Errors in the last invalid document.
  std::vector<SuspectStatus> Suspects; ///< Requests run alone or refused.
};

/** Status of the fleet, as far as one entry sees it and one team may see it. */
struct FleetStatus {
  ProcessStatus Self;                      ///< This entry.
  size_t OpenRequests = 0;                 ///< Requests open at this entry.
  std::vector<DomainStatus> Domains;       ///< Of entries and visible workers.
  std::vector<ModelStatus> Models;         ///< Models of visible classes.
  std::vector<ClassStatus> Classes;        ///< Visible classes.
  std::vector<WorkerStatus> Workers;       ///< Workers of visible classes.
  std::vector<WorkspaceStatus> Workspaces; ///< Visible workspaces.
  std::vector<ProcessStatus> Processes; ///< All processes; for operators only.
  RefusalStatus Refusals;               ///< For operators only.
};

} // namespace jacinthpond

#endif
