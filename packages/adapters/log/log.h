/** @file log.h Structured log lines of named components, by log4cxx. */

#ifndef JACINTHPOND_ADAPTERS_LOG_LOG_H
#define JACINTHPOND_ADAPTERS_LOG_LOG_H

#include "base/log_type.h"

#include <string>

namespace jacinthpond {

/**
 * Sets the log up to write "name=value" fields to standard output. Lines pass
 * through a bounded queue that never blocks the callers of logLine().
 * @param Process Name of this process, written in each line.
 * @param Level Name of the lowest level that is written.
 * @param ToStandardError Whether to write to standard error instead.
 */
void setupLog(const std::string &Process, const std::string &Level,
              bool ToStandardError);

/** Writes the queued lines and shuts the log down; no line may follow. */
void endLog();

/**
 * Queues one line; thread-safe.
 * @param Part Component that the line comes from.
 * @param Level Severity.
 * @param Text Fields that begin with "event=", or a short sentence; must
 *        not contain tokens or keys.
 */
void logLine(LogPart Part, LogLevel Level, const std::string &Text);

} // namespace jacinthpond

#endif
