/** @file traffic_metrics.h Histograms per tenant and class. */

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

/** Tenants with series of their own; all others share one. */
constexpr size_t MaxTenantLabels = 64;
/** Classes with series of their own. */
constexpr size_t MaxClassLabels = 32;
/** Label of everything beyond the bounds. */
constexpr const char *OtherLabel = "other";

/** A span of time for histograms. */
using Seconds = std::chrono::duration<double>;

/** Observes timings; safe from any thread. */
class TrafficMetrics {
public:
  /**
   * Notes one timing.
   * @param What Which timing.
   * @param Doc Document in force; names that it lacks count as "other", so
   *        that callers cannot make up series.
   * @param Tenant Whose request it was.
   * @param Class Class of work.
   * @param Took How long it took.
   */
  void observe(Timing What, const Document *Doc, const TenantName &Tenant,
               const ClassName &Class, Seconds Took);

  /**
   * Notes one timing of requests on routes, by service alone: a series for
   * each route and tenant would cost more memory than all connections.
   * @param What Which timing.
   * @param Service Service that answered.
   * @param Took How long it took.
   */
  void observeService(Timing What, const std::string &Service, Seconds Took);

  /**
   * Collects all series.
   * @return Families for the page.
   */
  std::vector<prometheus::MetricFamily> collect() const;

private:
  using Labels = std::pair<std::string, std::string>;
  using Row =
      std::array<prometheus::Histogram *, static_cast<size_t>(Timing::Count)>;

  void observeAs(Labels Key, Timing What, Seconds Took);
  Labels labelsOf(const Document *Doc, const TenantName &Tenant,
                  const ClassName &Class) const;

  prometheus::Registry Registry;
  std::mutex Guard; ///< Guards Known.
  std::map<Labels, Row> Known;
};

} // namespace jacinthpond

#endif
