/** @file status.cpp Builds the status that the administration API shows. */

#include "status/status_func.h"

#include "admission/quarantine_func.h"
#include "configuration/config_view_func.h"
#include "configuration/document_func.h"
#include "membership/membership_func.h"
#include "status/team_access_func.h"

#include <algorithm>

namespace jacinthpond {

namespace {

/** Status of this entry's own process. */
ProcessStatus selfStatus(const EntryState &Entry, TimePoint Now) {
  ProcessStatus Self;
  Self.Name = Entry.Fleet.Self.Name;
  Self.Kind = Role::Entry;
  Self.Domain = Entry.Fleet.Self.Domain;
  Self.Seen = true;
  Self.Version = versionInForce(Entry.View);
  Self.ConfigDigest = digestInForce(Entry.View);
  if (Entry.View.InForce)
    Self.InForceFor = toMillis(Now - Entry.View.Since);
  return Self;
}

/** Status of another process, as last reported over a ready link. */
template <typename Host>
ProcessStatus peerStatus(const EntryState &Entry, const Host &Peer, Role Kind,
                         TimePoint Now) {
  ProcessStatus One;
  One.Name = Peer.Name;
  One.Kind = Kind;
  One.Domain = Peer.Domain;
  const PeerLink *Link = readyLink(Entry.Fleet, Peer.Name);
  if (Link == nullptr)
    return One;
  One.Seen = true;
  One.Version = Link->Version;
  One.ConfigDigest = Link->ConfigDigest;
  if (Link->Version.Value > 0)
    One.InForceFor = toMillis(Now - Link->VersionSince);
  return One;
}

/** Status of this entry and of all entries and workers in the document. */
std::vector<ProcessStatus> allProcesses(const EntryState &Entry,
                                        TimePoint Now) {
  const Document &Doc = *Entry.View.InForce;
  std::vector<ProcessStatus> All{selfStatus(Entry, Now)};
  All.reserve(1 + Doc.Entries.size() + Doc.Workers.size());
  for (const EntryHost &Host : Doc.Entries)
    if (Host.Name != Entry.Fleet.Self.Name)
      All.push_back(peerStatus(Entry, Host, Role::Entry, Now));
  for (const Worker &Host : Doc.Workers)
    All.push_back(peerStatus(Entry, Host, Role::Agent, Now));
  return All;
}

/** Status of one worker, with its load if it has a ready link. */
WorkerStatus workerStatus(const EntryState &Entry, const Worker &Host) {
  WorkerStatus One;
  One.Name = Host.Name;
  One.Domain = Host.Domain;
  One.Model = Host.Model;
  One.Service = Host.Service;
  if (const PeerLink *Link = readyLink(Entry.Fleet, Host.Name)) {
    One.Seen = true;
    One.Leaving = Link->Leaving;
    One.Load = Link->Load;
  }
  return One;
}

/** True when a worker may get new requests from this entry. */
bool mayServeNow(const WorkerStatus &Host) {
  return Host.Seen && !Host.Leaving && canTakeWork(Host.Load);
}

/** Totals of the given workers for each failure domain. */
std::vector<DomainStatus>
domainStatuses(const Document &Doc, const std::vector<WorkerStatus> &Workers) {
  std::map<DomainName, DomainStatus> All;
  for (const EntryHost &Host : Doc.Entries)
    All[Host.Domain];
  for (const WorkerStatus &Host : Workers) {
    DomainStatus &One = All[Host.Domain];
    ++One.Workers;
    One.Unseen += Host.Seen ? 0 : 1;
    One.Serving += mayServeNow(Host) ? 1 : 0;
    One.Running += Host.Load.Running;
    One.Waiting += Host.Load.Waiting;
  }
  std::vector<DomainStatus> Listed;
  Listed.reserve(All.size());
  for (auto &[Name, One] : All) {
    One.Name = Name;
    One.Out = Doc.DomainsOut.contains(Name);
    Listed.push_back(One);
  }
  return Listed;
}

/** Progress of the given workers in loading the wanted weights of a model. */
ModelStatus modelStatus(const ModelVersion &Model,
                        const std::vector<WorkerStatus> &Workers) {
  ModelStatus One;
  One.Name = Model.Name;
  One.Version = Model.Version;
  One.Set = Model.Set;
  for (const WorkerStatus &Host : Workers) {
    if (Host.Model != Model.Name)
      continue;
    const bool Has = Host.Load.Weights == Model.Set;
    ++One.Workers;
    One.Loaded += Has ? 1 : 0;
    // A worker may delete the chunks of a set that its back end has loaded, so
    // it counts as holding all of them.
    One.ChunksHeld += Has ? Model.Chunks.size() : Host.Load.ChunksHeld;
    One.ChunksWanted += Model.Chunks.size();
  }
  return One;
}

/** Totals of the workers that serve a class. */
ClassStatus classStatus(const WorkClass &Class, const Document &Doc,
                        const std::vector<WorkerStatus> &Workers) {
  ClassStatus One;
  One.Name = Class.Name;
  for (const WorkerStatus &Host : Workers) {
    const bool Serves = Class.Kind == BackEndKind::Model
                            ? Host.Model == Class.Model
                            : Host.Service == Class.Service;
    if (!Serves)
      continue;
    ++One.Workers;
    if (!mayServeNow(Host) || Doc.DomainsOut.contains(Host.Domain))
      continue;
    ++One.Serving;
    One.Running += Host.Load.Running;
    One.Waiting += Host.Load.Waiting;
    One.Limit += Host.Load.Limit;
  }
  return One;
}

/** Number of open requests at this entry for each workspace. */
std::map<WorkspaceName, uint32_t> openByWorkspace(const EntryState &Entry) {
  std::map<WorkspaceName, uint32_t> Open;
  for (const auto &[Id, One] : Entry.Calls)
    ++Open[One.Received.Workspace];
  return Open;
}

/**
 * Adds the domains, models, classes, workers and workspaces that a team may
 * see.
 */
void addVisible(FleetStatus &Into, const EntryState &Entry,
                const TeamAccess &Access) {
  const Document &Doc = *Entry.View.InForce;
  for (const Worker &Host : Doc.Workers)
    if (canSeeWorker(Access, Doc, Host))
      Into.Workers.push_back(workerStatus(Entry, Host));
  Into.Domains = domainStatuses(Doc, Into.Workers);
  for (const WorkClass &Class : Doc.Classes)
    if (canSeeClass(Access, Class.Name))
      Into.Classes.push_back(classStatus(Class, Doc, Into.Workers));
  for (const ModelVersion &Model : Doc.Models)
    if (Access.Operator ||
        std::ranges::any_of(Into.Workers, [&](const WorkerStatus &Host) {
          return Host.Model == Model.Name;
        }))
      Into.Models.push_back(modelStatus(Model, Into.Workers));
  const std::map<WorkspaceName, uint32_t> Open = openByWorkspace(Entry);
  for (const Workspace &One : Doc.Workspaces) {
    const auto it = Open.find(One.Name);
    if (canSeeWorkspace(Access, One.Name))
      Into.Workspaces.push_back({One.Name, it == Open.end() ? 0 : it->second});
  }
}

/** What this entry refused: requests, documents and suspects. */
RefusalStatus refusalStatus(const EntryState &Entry, TimePoint Now) {
  RefusalStatus Status;
  Status.Errors = Entry.Counters.Errors;
  Status.DocumentsRefused = Entry.View.Refused;
  Status.DocumentConflicts = Entry.View.Conflicts;
  Status.LastRefusal = Entry.View.LastRefusal;
  for (const auto &[Fingerprint, One] : Entry.Suspects.Suspects)
    Status.Suspects.push_back(
        {Fingerprint, One.Deaths.size(), One.Proven,
         refusalTimeLeft(Entry.Suspects, Fingerprint, Now)});
  return Status;
}

} // namespace

bool canTakeWork(const WorkerLoad &Load) {
  return Load.State == WorkerState::Serving ||
         Load.State == WorkerState::Warming;
}

FleetStatus fleetStatus(const EntryState &Entry, const TeamAccess &Access,
                        TimePoint Now) {
  FleetStatus Status;
  Status.Self = selfStatus(Entry, Now);
  Status.OpenRequests = Entry.Calls.size();
  if (!Entry.View.InForce)
    return Status;
  addVisible(Status, Entry, Access);
  if (!Access.Operator)
    return Status;
  Status.Processes = allProcesses(Entry, Now);
  Status.Refusals = refusalStatus(Entry, Now);
  return Status;
}

} // namespace jacinthpond
