/** @file entry_metrics.cpp Counters and gauges of an entry. */

#include "entry_metrics.h"

#include "configuration/config_view_func.h"
#include "table/entry_metric_table.h"

#include <chrono>

namespace jacinthpond {

using prometheus::MetricType;

namespace {

std::vector<LabelledValue> one(double Value) { return {{{}, Value}}; }

void addConfig(MetricFamilies &Into, const EntryState &Entry, TimePoint Now) {
  const ConfigView &View = Entry.View;
  addFamily(Into, MetricType::Gauge,
            {"jacinthpond_config_version", "Version in force; 0: none."},
            one(static_cast<double>(versionInForce(View).Value)));
  const std::chrono::duration<double> Age = Now - View.Since;
  addFamily(Into, MetricType::Gauge,
            {"jacinthpond_config_age_seconds", "Time it has been in force."},
            one(View.InForce ? Age.count() : 0));
  addFamily(Into, MetricType::Counter,
            {"jacinthpond_config_refused_total", "Invalid documents seen."},
            one(static_cast<double>(View.Refused)));
  addFamily(Into, MetricType::Counter,
            {"jacinthpond_config_conflicts_total",
             "Documents whose version is taken by another content."},
            one(static_cast<double>(View.Conflicts)));
}

/** Counts links by role of the peer and by how far they have come. */
void addLinks(MetricFamilies &Into, const EntryState &Entry) {
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

/** Transfer progress of the workers that this entry has links to. */
void addTransfer(MetricFamilies &Into, const EntryState &Entry) {
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

} // namespace

MetricFamilies entryFamilies(const EntryState &Entry, TimePoint Now) {
  MetricFamilies All;
  for (const EntryCounterSpec &Row : EntryCounterTable)
    addFamily(All, MetricType::Counter, Row.Spec,
              one(static_cast<double>(Entry.Counters.*Row.Counter)));
  addErrorCounts(All,
                 {"jacinthpond_errors_total", "Final errors, by error kind."},
                 Entry.Counters.Errors);
  addFamily(All, MetricType::Gauge,
            {"jacinthpond_open_requests", "Requests without a final answer."},
            one(static_cast<double>(Entry.Calls.size())));
  addFamily(All, MetricType::Gauge,
            {"jacinthpond_quarantined", "Requests held apart as suspects."},
            one(static_cast<double>(Entry.Suspects.Suspects.size())));
  addConfig(All, Entry, Now);
  addLinks(All, Entry);
  addTransfer(All, Entry);
  return All;
}

MetricFamilies routeFamilies(const Forwarder &Routes) {
  MetricFamilies All = Routes.timings().collect();
  for (size_t n = 0; n < ForwardCounterTable.size(); ++n)
    addFamily(All, MetricType::Counter,
              {ForwardCounterTable.at(n).Name, ForwardCounterTable.at(n).Help},
              one(static_cast<double>(
                  Routes.counters().get(static_cast<ForwardCount>(n)))));
  addFamily(All, MetricType::Gauge,
            {"jacinthpond_route_open", "Requests on routes under way."},
            one(Routes.open()));
  return All;
}

} // namespace jacinthpond
