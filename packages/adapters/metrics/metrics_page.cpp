/** @file metrics_page.cpp Building, access filter and text of metrics pages. */

#include "metrics/metrics_page.h"

#include "base/error_func.h"
#include "status/team_access_func.h"

#include <prometheus/text_serializer.h>

#include <algorithm>

namespace jacinthpond {

namespace {

using prometheus::ClientMetric;
using prometheus::MetricFamily;

constexpr const char *WorkspaceLabel = "tenant";
constexpr const char *ClassLabel = "class";

/** Gives the value of a series' label; empty when it has none. */
std::string labelValue(const ClientMetric &Series, const char *Name) {
  const auto it = std::ranges::find(Series.label, std::string(Name),
                                    &ClientMetric::Label::name);
  return it == Series.label.end() ? "" : it->value;
}

/** Adds the counts of a histogram to another one with the same buckets. */
void addHistogram(ClientMetric &Into, const ClientMetric &From) {
  Into.histogram.sample_count += From.histogram.sample_count;
  Into.histogram.sample_sum += From.histogram.sample_sum;
  for (size_t n = 0; n < Into.histogram.bucket.size(); ++n)
    Into.histogram.bucket[n].cumulative_count +=
        From.histogram.bucket.at(n).cumulative_count;
}

/** Sums a family of histograms over its workspaces. */
MetricFamily sumWorkspaces(const MetricFamily &All) {
  MetricFamily Summed = All;
  Summed.metric.clear();
  for (ClientMetric Series : All.metric) {
    std::erase_if(Series.label, [](const ClientMetric::Label &One) {
      return One.name == WorkspaceLabel;
    });
    const auto it =
        std::ranges::find(Summed.metric, Series.label, &ClientMetric::label);
    if (it == Summed.metric.end())
      Summed.metric.push_back(std::move(Series));
    else
      addHistogram(*it, Series);
  }
  return Summed;
}

/** Says whether a team may see the workspace and the class of a series. */
bool maySeeSeries(const TeamAccess &Access, const ClientMetric &Series) {
  return canSeeWorkspace(Access,
                         WorkspaceName{labelValue(Series, WorkspaceLabel)}) &&
         canSeeClass(Access, ClassName{labelValue(Series, ClassLabel)});
}

/** Says whether the series of a family have a workspace label. */
bool namesWorkspaces(const MetricFamily &Family) {
  return !Family.metric.empty() &&
         !labelValue(Family.metric.front(), WorkspaceLabel).empty();
}

} // namespace

void addFamily(MetricFamilies &Into, prometheus::MetricType Type,
               const MetricSpec &Spec,
               const std::vector<LabelledValue> &Values) {
  MetricFamily Family;
  Family.name = Spec.Name;
  Family.help = Spec.Help;
  Family.type = Type;
  for (const LabelledValue &One : Values) {
    ClientMetric Series;
    for (const auto &[Name, Value] : One.Labels)
      Series.label.push_back({Name, Value});
    Series.counter.value = One.Value;
    Series.gauge.value = One.Value;
    Family.metric.push_back(std::move(Series));
  }
  Into.push_back(std::move(Family));
}

void addErrorCounts(MetricFamilies &Into, const MetricSpec &Spec,
                    const std::map<ErrorKind, uint64_t> &Counts) {
  std::vector<LabelledValue> Values(Counts.size());
  std::ranges::transform(Counts, Values.begin(), [](const auto &Row) {
    return LabelledValue{{{"kind", errorAnswerFor(Row.first).Name}},
                         static_cast<double>(Row.second)};
  });
  addFamily(Into, prometheus::MetricType::Counter, Spec, Values);
}

MetricFamilies filterVisibleMetrics(const MetricFamilies &All,
                                    const Document *Doc,
                                    const std::string &Authorization) {
  const auto Access =
      outcomeOf([&] { return authenticateTeam(Doc, Authorization); });
  MetricFamilies Shown;
  for (const MetricFamily &Family : All) {
    if (!namesWorkspaces(Family)) {
      Shown.push_back(Family);
      continue;
    }
    if (!Access.Value) {
      Shown.push_back(sumWorkspaces(Family));
      continue;
    }
    MetricFamily Own = Family;
    std::erase_if(Own.metric, [&](const ClientMetric &Series) {
      return !maySeeSeries(*Access.Value, Series);
    });
    Shown.push_back(std::move(Own));
  }
  return Shown;
}

std::string metricsText(const MetricFamilies &All) {
  return prometheus::TextSerializer().Serialize(All);
}

} // namespace jacinthpond
