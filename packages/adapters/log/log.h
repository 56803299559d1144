/** @file log.h Log lines with a fixed prefix for each part, by log4cxx. */

#ifndef JACINTHPOND_ADAPTERS_LOG_LOG_H
#define JACINTHPOND_ADAPTERS_LOG_LOG_H

#include "base/log_type.h"

#include <string>

namespace jacinthpond {

/**
 * Sends all lines to standard output, as fields "name=value", through a bounded
 * queue that never holds up its callers.
 * @param Process Name of this process, in each line.
 * @param Level Name of the lowest level that is written.
 * @param ToStandardError Whether they go to standard error instead.
 */
void setupLog(const std::string &Process, const std::string &Level,
              bool ToStandardError);

/** Writes what is queued; no line may follow. */
void endLog();

/**
 * Writes one line.
 * @param Part Which part speaks.
 * @param Level How much it matters.
 * @param Text Fields that begin with "event=", or a short sentence; never a
 *        token or key of anybody.
 */
void logLine(LogPart Part, LogLevel Level, const std::string &Text);

} // namespace jacinthpond

#endif
