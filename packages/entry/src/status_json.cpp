/** @file status_json.cpp JSON answers of the administration API. */

#include "status_json.h"

#include "base/error_func.h"

#include <algorithm>
#include <array>

namespace jacinthpond {

using Json = nlohmann::json;

namespace {

/** Names in answers, in the order of WorkerState. */
constexpr std::array<const char *, 5> WorkerStateNames = {
    "empty", "loading", "warming", "serving", "leaving"};

/** Converts each element of a list with ToJson into an element of an array. */
template <typename List, typename Function>
Json jsonArray(const List &Source, Function &&ToJson) {
  Json Items = Json::array();
  std::ranges::transform(Source, std::back_inserter(Items), ToJson);
  return Items;
}

/** Formats the configuration in force at a process. */
Json processJson(const ProcessStatus &Item) {
  return {{"name", Item.Name.Value},
          {"kind", Item.Kind == Role::Entry ? "entry" : "agent"},
          {"domain", Item.Domain.Value},
          {"seen", Item.Seen},
          {"version", Item.Version.Value},
          {"digest", Item.ConfigDigest.Value},
          {"in_force_ms", Item.InForceFor.count()}};
}

/** Formats a failure domain with its workers and requests. */
Json domainJson(const DomainStatus &Item) {
  return {
      {"name", Item.Name.Value}, {"out", Item.Out},
      {"workers", Item.Workers}, {"serving", Item.Serving},
      {"unseen", Item.Unseen},   {"running", Item.Running},
      {"waiting", Item.Waiting}, {"remaining", Item.Running + Item.Waiting}};
}

/** Formats how far the wanted weights of a model have spread. */
Json modelJson(const ModelStatus &Item) {
  return {{"name", Item.Name.Value},
          {"version", Item.Version},
          {"weights", Item.Set.Value},
          {"workers", Item.Workers},
          {"loaded", Item.Loaded},
          {"chunks_held", Item.ChunksHeld},
          {"chunks_wanted", Item.ChunksWanted}};
}

/** Formats a class with its workers and requests. */
Json classJson(const ClassStatus &Item) {
  return {{"name", Item.Name.Value}, {"workers", Item.Workers},
          {"serving", Item.Serving}, {"running", Item.Running},
          {"waiting", Item.Waiting}, {"limit", Item.Limit}};
}

/** Formats a worker with its state and load. */
Json workerJson(const WorkerStatus &Item) {
  const char *State = WorkerStateNames.at(static_cast<size_t>(Item.Load.State));
  return {{"name", Item.Name.Value},
          {"domain", Item.Domain.Value},
          {"model", Item.Model.Value},
          {"service", Item.Service.Value},
          {"state", !Item.Seen     ? "unseen"
                    : Item.Leaving ? "leaving"
                                   : State},
          {"running", Item.Load.Running},
          {"waiting", Item.Load.Waiting},
          {"limit", Item.Load.Limit},
          {"weights", Item.Load.Weights.Value},
          {"chunks_held", Item.Load.ChunksHeld},
          {"chunks_wanted", Item.Load.ChunksWanted}};
}

/** Formats a quarantined request. */
Json suspectJson(const SuspectStatus &Item) {
  return {{"fingerprint", Item.Fingerprint.Value},
          {"deaths", Item.Deaths},
          {"proven", Item.Proven},
          {"refused_for_ms", Item.RefusedFor.count()}};
}

/** Formats a workspace with its open requests. */
Json workspaceJson(const WorkspaceStatus &Item) {
  return {{"name", Item.Name.Value}, {"open_requests", Item.OpenRequests}};
}

} // namespace

Json statusJson(const FleetStatus &Status) {
  return {{"entry", processJson(Status.Self)},
          {"open_requests", Status.OpenRequests},
          {"domains", jsonArray(Status.Domains, domainJson)},
          {"models", jsonArray(Status.Models, modelJson)},
          {"classes", jsonArray(Status.Classes, classJson)},
          {"tenants", jsonArray(Status.Workspaces, workspaceJson)},
          {"workers", jsonArray(Status.Workers, workerJson)}};
}

Json domainsJson(const FleetStatus &Status) {
  return {{"domains", jsonArray(Status.Domains, domainJson)}};
}

Json configJson(const FleetStatus &Status) {
  return {{"processes", jsonArray(Status.Processes, processJson)}};
}

Json workersJson(const FleetStatus &Status) {
  return {{"workers", jsonArray(Status.Workers, workerJson)}};
}

Json refusalsJson(const FleetStatus &Status) {
  Json Errors = Json::object();
  for (const auto &[Kind, n] : Status.Refusals.Errors)
    Errors[errorAnswerFor(Kind).Name] = n;
  return {{"errors", Errors},
          {"documents_refused", Status.Refusals.DocumentsRefused},
          {"document_conflicts", Status.Refusals.DocumentConflicts},
          {"last_document_refusal", Status.Refusals.LastRefusal},
          {"quarantine", jsonArray(Status.Refusals.Suspects, suspectJson)}};
}

Json changeJson(const DocumentChange &Change) {
  Json Lists = Json::object();
  for (const ListChange &Item : Change.Lists)
    Lists[Item.List] = {{"added", Item.Added},
                        {"removed", Item.Removed},
                        {"changed", Item.Changed}};
  return {{"in_force", Change.InForce.Value},
          {"candidate", Change.Candidate.Value},
          {"would_apply", Change.WouldApply},
          {"workers_to_load", Change.WorkersToLoad},
          {"changes", Lists}};
}

} // namespace jacinthpond
