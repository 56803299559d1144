/** @file traffic_metrics.cpp Histograms per tenant and class. */

#include "metrics/traffic_metrics.h"

#include <prometheus/histogram.h>

#include <algorithm>

namespace jacinthpond {

namespace {

/**
 * Gives the label of a name: its own when the document lists it among the
 * first names, else the shared one.
 */
template <typename List, typename Id>
std::string labelIn(const List &All, const Id &Name, size_t Bound) {
  const auto End =
      All.begin() + static_cast<std::ptrdiff_t>(std::min(Bound, All.size()));
  const auto it = std::find_if(
      All.begin(), End, [&](const auto &One) { return One.Name == Name; });
  return it == End ? OtherLabel : Name.Value;
}

} // namespace

TrafficMetrics::Labels TrafficMetrics::labelsOf(const Document *Doc,
                                                const TenantName &Tenant,
                                                const ClassName &Class) const {
  if (Doc == nullptr)
    return {OtherLabel, OtherLabel};
  return {labelIn(Doc->Tenants, Tenant, MaxTenantLabels),
          labelIn(Doc->Classes, Class, MaxClassLabels)};
}

void TrafficMetrics::observe(Timing What, const Document *Doc,
                             const TenantName &Tenant, const ClassName &Class,
                             Seconds Took) {
  observeAs(labelsOf(Doc, Tenant, Class), What, Took);
}

void TrafficMetrics::observeService(Timing What, const std::string &Service,
                                    Seconds Took) {
  observeAs({OtherLabel, Service}, What, Took);
}

void TrafficMetrics::observeAs(Labels Key, Timing What, Seconds Took) {
  const std::lock_guard Lock(Guard);
  // Documents replace names over time: without this bound the series of all
  // names that ever were would stay.
  if (!Known.contains(Key) && Known.size() >= MaxTenantLabels * MaxClassLabels)
    Key = {OtherLabel, OtherLabel};
  prometheus::Histogram *&Series =
      Known.try_emplace(Key).first->second.at(static_cast<size_t>(What));
  if (Series == nullptr) {
    const TimingSpec &Spec = TimingTable.at(static_cast<size_t>(What));
    auto &Family =
        prometheus::BuildHistogram().Name(Spec.Name).Help(Spec.Help).Register(
            Registry);
    Series = &Family.Add({{"tenant", Key.first}, {"class", Key.second}},
                         prometheus::Histogram::BucketBoundaries(
                             Spec.Bounds.begin(), Spec.Bounds.end()));
  }
  Series->Observe(Took.count());
}

std::vector<prometheus::MetricFamily> TrafficMetrics::collect() const {
  return Registry.Collect();
}

} // namespace jacinthpond
