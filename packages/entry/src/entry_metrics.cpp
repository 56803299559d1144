/** @file entry_metrics.cpp Metrics of an entry. */

#include "entry_metrics.h"

#include "configuration/config_view_func.h"
#include "table/entry_metric_table.h"

#include <chrono>

namespace jacinthpond {

using prometheus::MetricType;

namespace {

/** Returns the values of a metric with a single value and no labels. */
std::vector<LabelledValue> unlabelledValue(double Value) {
  return {{{}, Value}};
}

/** Adds version and age of the document in force, and counts of refused
 * documents. */
void addConfigMetrics(MetricFamilies &Into, const EntryState &Entry,
                      TimePoint Now) {
  const ConfigView &View = Entry.View;
  addFamily(Into, MetricType::Gauge,
            {"jacinthpond_config_version", "Version in force; 0: none."},
            unlabelledValue(static_cast<double>(versionInForce(View).Value)));
  const std::chrono::duration<double> Age = Now - View.Since;
  addFamily(Into, MetricType::Gauge,
            {"jacinthpond_config_age_seconds", "Time it has been in force."},
            unlabelledValue(View.InForce ? Age.count() : 0));
  addFamily(Into, MetricType::Counter,
            {"jacinthpond_config_refused_total", "Invalid documents seen."},
            unlabelledValue(static_cast<double>(View.Refused)));
  const std::chrono::duration<double> RefusedFor =
      Now - View.RefusedSince.value_or(Now);
  addFamily(Into, MetricType::Gauge,
            {"jacinthpond_config_refused_seconds",
             "Time for which newer documents have been invalid; 0: none is."},
            unlabelledValue(RefusedFor.count()));
  addFamily(Into, MetricType::Gauge,
            {"jacinthpond_config_parts_left_out",
             "Parts of the configuration that its document leaves out."},
            unlabelledValue(static_cast<double>(Entry.LeftOut.Count)));
  addFamily(Into, MetricType::Counter,
            {"jacinthpond_config_conflicts_total",
             "Documents whose version is taken by another content."},
            unlabelledValue(static_cast<double>(View.Conflicts)));
}

/** Adds the number of ready links by role of the peer, and of opening links. */
void addLinkMetrics(MetricFamilies &Into, const EntryState &Entry) {
  double Agents = 0;
  double Entries = 0;
  double Opening = 0;
  for (const auto &[Id, Link] : Entry.Fleet.Links) {
    if (Link.State != LinkState::Ready)
      ++Opening;
    else
      ++(Link.Peer.Sender == Role::Agent ? Agents : Entries);
  }
  addFamily(Into, MetricType::Gauge, {"jacinthpond_links", "Links, by peer."},
            {{{{"peer", "agent"}}, Agents},
             {{{"peer", "entry"}}, Entries},
             {{{"peer", "opening"}}, Opening}});
}

/** Adds the weights transfer progress, by domain, of the workers to which this
 * entry has links. */
void addTransferMetrics(MetricFamilies &Into, const EntryState &Entry) {
  std::map<std::string, std::pair<double, double>> Chunks;
  for (const auto &[Id, Link] : Entry.Fleet.Links) {
    if (Link.State != LinkState::Ready || Link.Load.ChunksWanted == 0)
      continue;
    auto &[Held, Wanted] = Chunks[Link.Peer.Domain.Value];
    Held += Link.Load.ChunksHeld;
    Wanted += Link.Load.ChunksWanted;
  }
  std::vector<LabelledValue> Held;
  std::vector<LabelledValue> Wanted;
  for (const auto &[Domain, Both] : Chunks) {
    Held.push_back({{{"domain", Domain}}, Both.first});
    Wanted.push_back({{{"domain", Domain}}, Both.second});
  }
  addFamily(Into, MetricType::Gauge,
            {"jacinthpond_transfer_chunks_held",
             "Chunks of the wanted weights that workers hold, by domain."},
            Held);
  addFamily(Into, MetricType::Gauge,
            {"jacinthpond_transfer_chunks_wanted",
             "Chunks of the wanted weights that workers need, by domain."},
            Wanted);
}

/** Adds the connections of callers of routes, what they hold, and refusals. */
void addCallerMetrics(MetricFamilies &Into, const CallerConnections &Callers) {
  addFamily(Into, MetricType::Gauge,
            {"jacinthpond_caller_connections",
             "Connections of callers of routes, readiness and directory."},
            unlabelledValue(static_cast<double>(Callers.count())));
  addFamily(Into, MetricType::Gauge,
            {"jacinthpond_caller_bytes", "Memory that they hold."},
            unlabelledValue(static_cast<double>(Callers.bytes())));
  std::vector<LabelledValue> Refusals;
  for (size_t n = 0; n < CallerRefusalNames.size(); ++n)
    Refusals.push_back(
        {{{"reason", CallerRefusalNames.at(n)}},
         static_cast<double>(Callers.refusals(static_cast<CallerRefusal>(n)))});
  addFamily(Into, MetricType::Counter,
            {"jacinthpond_callers_refused_total",
             "Requests refused, or connections closed, before a request was "
             "complete; by reason."},
            Refusals);
}

} // namespace

MetricFamilies entryMetrics(const EntryState &Entry, TimePoint Now) {
  MetricFamilies All;
  for (const EntryCounterSpec &Row : EntryCounterTable)
    addFamily(
        All, MetricType::Counter, Row.Spec,
        unlabelledValue(static_cast<double>(Entry.Counters.*Row.Counter)));
  addErrorCounts(All,
                 {"jacinthpond_errors_total", "Final errors, by error kind."},
                 Entry.Counters.Errors);
  addFamily(All, MetricType::Gauge,
            {"jacinthpond_open_requests", "Requests without a final answer."},
            unlabelledValue(static_cast<double>(Entry.Calls.size())));
  addFamily(
      All, MetricType::Gauge,
      {"jacinthpond_quarantined", "Requests held apart as suspects."},
      unlabelledValue(static_cast<double>(Entry.Suspects.Suspects.size())));
  addConfigMetrics(All, Entry, Now);
  addLinkMetrics(All, Entry);
  addTransferMetrics(All, Entry);
  return All;
}

MetricFamilies routeMetrics(const Forwarder &Routes) {
  MetricFamilies All = Routes.timings().collect();
  for (size_t n = 0; n < ForwardCounterTable.size(); ++n)
    addFamily(All, MetricType::Counter,
              {ForwardCounterTable.at(n).Name, ForwardCounterTable.at(n).Help},
              unlabelledValue(static_cast<double>(
                  Routes.counters().get(static_cast<ForwardCount>(n)))));
  addFamily(All, MetricType::Gauge,
            {"jacinthpond_route_open", "Requests on routes under way."},
            unlabelledValue(Routes.countOpenRequests()));
  addCallerMetrics(All, Routes.callers());
  return All;
}

} // namespace jacinthpond
