/** @file refusal_log.h Log lines for series of refusals. */

#ifndef JACINTHPOND_ADAPTERS_LOG_REFUSAL_LOG_H
#define JACINTHPOND_ADAPTERS_LOG_REFUSAL_LOG_H

#include "admission/connection_table_type.h"
#include "admission/refusal_episode_type.h"
#include "log/log.h"

namespace jacinthpond {

/**
 * Logs the first refusal of a series.
 * @param Listener Name of the listener.
 * @param Why Reason.
 * @param Table Connections of the listener.
 */
inline void logRefusals(const std::string &Listener, CallerRefusal Why,
                        const ConnectionTable &Table) {
  logLine(LogPart::Requests, LogLevel::Warn,
          "event=callers_refused listener=" + Listener +
              " reason=" + CallerRefusalNames.at(static_cast<size_t>(Why)) +
              " connections=" + std::to_string(Table.Rows.size()) +
              " connections_limit=" + std::to_string(Table.Limits.Connections) +
              " bytes=" + std::to_string(Table.Bytes) +
              " bytes_limit=" + std::to_string(Table.Limits.Bytes));
}

/**
 * Logs the end of a series of refusals.
 * @param Listener Name of the listener.
 * @param Why Reason.
 * @param Refused Refusals of the series.
 */
inline void logRefusalsEnd(const std::string &Listener, CallerRefusal Why,
                           uint64_t Refused) {
  logLine(LogPart::Requests, LogLevel::Warn,
          "event=callers_refused_end listener=" + Listener +
              " reason=" + CallerRefusalNames.at(static_cast<size_t>(Why)) +
              " refused=" + std::to_string(Refused));
}

} // namespace jacinthpond

#endif
