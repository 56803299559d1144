/** @file traffic_metrics.cpp Latency histograms per workspace and class. */

#include "metrics/traffic_metrics.h"

#include <prometheus/histogram.h>

#include <algorithm>

namespace jacinthpond {

namespace {

/**
 * Gives the label of a name: the name itself when it is among the first entries
 * of the document's list, otherwise OtherLabel.
 */
template <typename List, typename Id>
std::string limitedLabel(const List &All, const Id &Name, size_t MaxLabels) {
  const auto End = All.begin() +
                   static_cast<std::ptrdiff_t>(std::min(MaxLabels, All.size()));
  const auto it = std::find_if(
      All.begin(), End, [&](const auto &One) { return One.Name == Name; });
  return it == End ? OtherLabel : Name.Value;
}

} // namespace

TrafficMetrics::Labels TrafficMetrics::labelsFor(const Document *Doc,
                                                 const WorkspaceName &Workspace,
                                                 const ClassName &Class) const {
  if (Doc == nullptr)
    return {OtherLabel, OtherLabel};
  return {limitedLabel(Doc->Workspaces, Workspace, MaxWorkspaceLabels),
          limitedLabel(Doc->Classes, Class, MaxClassLabels)};
}

void TrafficMetrics::observe(Timing Kind, const Document *Doc,
                             const WorkspaceName &Workspace,
                             const ClassName &Class, Seconds Duration) {
  observeSeries(labelsFor(Doc, Workspace, Class), Kind, Duration);
}

void TrafficMetrics::observeService(Timing Kind, const std::string &Service,
                                    Seconds Duration) {
  observeSeries({OtherLabel, Service}, Kind, Duration);
}

void TrafficMetrics::observeSeries(Labels Key, Timing Kind, Seconds Duration) {
  const std::lock_guard Lock(Guard);
  // Later documents bring other names, and series are never removed: without
  // this limit, their number would grow with each new name.
  if (!SeriesByLabels.contains(Key) &&
      SeriesByLabels.size() >= MaxWorkspaceLabels * MaxClassLabels)
    Key = {OtherLabel, OtherLabel};
  prometheus::Histogram *&Series =
      SeriesByLabels.try_emplace(Key).first->second.at(
          static_cast<size_t>(Kind));
  if (Series == nullptr) {
    const TimingSpec &Spec = TimingTable.at(static_cast<size_t>(Kind));
    auto &Family =
        prometheus::BuildHistogram().Name(Spec.Name).Help(Spec.Help).Register(
            Registry);
    Series = &Family.Add({{"tenant", Key.first}, {"class", Key.second}},
                         prometheus::Histogram::BucketBoundaries(
                             Spec.Bounds.begin(), Spec.Bounds.end()));
  }
  Series->Observe(Duration.count());
}

std::vector<prometheus::MetricFamily> TrafficMetrics::collect() const {
  return Registry.Collect();
}

} // namespace jacinthpond
