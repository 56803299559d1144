/** @file status_json.cpp The administration API's answers as JSON. */

#include "status_json.h"

#include "base/error_func.h"

#include <algorithm>
#include <array>

namespace jacinthpond {

using Json = nlohmann::json;

namespace {

constexpr std::array<const char *, 5> StateNames = {
    "empty", "loading", "warming", "serving", "leaving"};

template <typename List, typename Function>
Json listOf(const List &All, Function &&One) {
  Json Listed = Json::array();
  std::ranges::transform(All, std::back_inserter(Listed), One);
  return Listed;
}

Json processJson(const ProcessStatus &One) {
  return {{"name", One.Name.Value},
          {"kind", One.Kind == Role::Entry ? "entry" : "agent"},
          {"domain", One.Domain.Value},
          {"seen", One.Seen},
          {"version", One.Version.Value},
          {"digest", One.ConfigDigest.Value},
          {"in_force_ms", One.InForceFor.count()}};
}

Json domainJson(const DomainStatus &One) {
  return {{"name", One.Name.Value}, {"out", One.Out},
          {"workers", One.Workers}, {"serving", One.Serving},
          {"unseen", One.Unseen},   {"running", One.Running},
          {"waiting", One.Waiting}, {"remaining", One.Running + One.Waiting}};
}

Json modelJson(const ModelStatus &One) {
  return {{"name", One.Name.Value},
          {"version", One.Version},
          {"weights", One.Set.Value},
          {"workers", One.Workers},
          {"loaded", One.Loaded},
          {"chunks_held", One.ChunksHeld},
          {"chunks_wanted", One.ChunksWanted}};
}

Json classJson(const ClassStatus &One) {
  return {{"name", One.Name.Value}, {"workers", One.Workers},
          {"serving", One.Serving}, {"running", One.Running},
          {"waiting", One.Waiting}, {"limit", One.Limit}};
}

Json workerJson(const WorkerStatus &One) {
  const char *State = StateNames.at(static_cast<size_t>(One.Load.State));
  return {{"name", One.Name.Value},
          {"domain", One.Domain.Value},
          {"model", One.Model.Value},
          {"service", One.Service.Value},
          {"state", !One.Seen     ? "unseen"
                    : One.Leaving ? "leaving"
                                  : State},
          {"running", One.Load.Running},
          {"waiting", One.Load.Waiting},
          {"limit", One.Load.Limit},
          {"weights", One.Load.Weights.Value},
          {"chunks_held", One.Load.ChunksHeld},
          {"chunks_wanted", One.Load.ChunksWanted}};
}

Json suspectJson(const SuspectStatus &One) {
  return {{"fingerprint", One.Fingerprint.Value},
          {"deaths", One.Deaths},
          {"proven", One.Proven},
          {"refused_for_ms", One.RefusedFor.count()}};
}

Json tenantJson(const TenantStatus &One) {
  return {{"name", One.Name.Value}, {"open_requests", One.OpenRequests}};
}

} // namespace

Json statusJson(const FleetStatus &Status) {
  return {{"entry", processJson(Status.Self)},
          {"open_requests", Status.OpenRequests},
          {"domains", listOf(Status.Domains, domainJson)},
          {"models", listOf(Status.Models, modelJson)},
          {"classes", listOf(Status.Classes, classJson)},
          {"tenants", listOf(Status.Tenants, tenantJson)},
          {"workers", listOf(Status.Workers, workerJson)}};
}

Json domainsJson(const FleetStatus &Status) {
  return {{"domains", listOf(Status.Domains, domainJson)}};
}

Json configJson(const FleetStatus &Status) {
  return {{"processes", listOf(Status.Processes, processJson)}};
}

Json workersJson(const FleetStatus &Status) {
  return {{"workers", listOf(Status.Workers, workerJson)}};
}

Json refusalsJson(const FleetStatus &Status) {
  Json Errors = Json::object();
  for (const auto &[Kind, n] : Status.Refusals.Errors)
    Errors[answerFor(Kind).Name] = n;
  return {{"errors", Errors},
          {"documents_refused", Status.Refusals.DocumentsRefused},
          {"document_conflicts", Status.Refusals.DocumentConflicts},
          {"last_document_refusal", Status.Refusals.LastRefusal},
          {"quarantine", listOf(Status.Refusals.Suspects, suspectJson)}};
}

Json changeJson(const DocumentChange &Change) {
  Json Lists = Json::object();
  for (const ListChange &One : Change.Lists)
    Lists[One.List] = {{"added", One.Added},
                       {"removed", One.Removed},
                       {"changed", One.Changed}};
  return {{"in_force", Change.InForce.Value},
          {"candidate", Change.Candidate.Value},
          {"would_apply", Change.WouldApply},
          {"workers_to_load", Change.WorkersToLoad},
          {"changes", Lists}};
}

} // namespace jacinthpond
