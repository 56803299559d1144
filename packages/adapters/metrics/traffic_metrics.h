/** @file traffic_metrics.h Latency histograms per workspace and class. */

#ifndef JACINTHPOND_ADAPTERS_METRICS_TRAFFIC_METRICS_H
#define JACINTHPOND_ADAPTERS_METRICS_TRAFFIC_METRICS_H

#include "configuration/document_type.h"
#include "metrics/table/timing_table.h"

#include <prometheus/registry.h>

#include <array>
#include <chrono>
#include <map>
#include <mutex>
#include <utility>

namespace prometheus {
class Histogram;
} // namespace prometheus

namespace jacinthpond {

/** Workspaces with series of their own; all others share one. */
constexpr size_t MaxWorkspaceLabels = 64;
/** Classes with series of their own; all others share one. */
constexpr size_t MaxClassLabels = 32;
/** Label of the shared series. */
constexpr const char *OtherLabel = "other";

/** Duration that a histogram observes. */
using Seconds = std::chrono::duration<double>;

/** Records latencies in histograms; thread-safe. */
class TrafficMetrics {
public:
  /**
   * Records one latency of a request.
   * @param Kind The timing that was measured.
   * @param Doc Document in force; may be null. Names that it does not contain
   *        count as "other", so that callers cannot create series.
   * @param Workspace Workspace of the request.
   * @param Class Class of the request.
   * @param Duration Measured duration.
   */
  void observe(Timing Kind, const Document *Doc, const WorkspaceName &Workspace,
               const ClassName &Class, Seconds Duration);

  /**
   * Records one latency of a request on a route, by its service only: series
   * for each route and workspace would take more memory than all connections.
   * @param Kind The timing that was measured.
   * @param Service Service that answered.
   * @param Duration Measured duration.
   */
  void observeService(Timing Kind, const std::string &Service,
                      Seconds Duration);

  /**
   * Collects all histograms.
   * @return Families for the metrics page.
   */
  std::vector<prometheus::MetricFamily> collect() const;

private:
  /** Values of the labels "tenant" and "class". */
  using Labels = std::pair<std::string, std::string>;
  /** Histograms by Timing; null until the first observation. */
  using HistogramRow =
      std::array<prometheus::Histogram *, static_cast<size_t>(Timing::Count)>;

  /** Records a duration in the series with these labels, created if needed. */
  void observeSeries(Labels Key, Timing Kind, Seconds Duration);
  /** Gives the labels of a request, with names beyond the limits as "other". */
  Labels labelsFor(const Document *Doc, const WorkspaceName &Workspace,
                   const ClassName &Class) const;

  prometheus::Registry Registry;
  std::mutex Guard; ///< Guards SeriesByLabels.
  std::map<Labels, HistogramRow> SeriesByLabels;
};

} // namespace jacinthpond

#endif
