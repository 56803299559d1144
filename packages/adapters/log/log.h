/** @file log.h Log lines with a fixed prefix for each part, by log4cxx. */

#ifndef JACINTHPOND_ADAPTERS_LOG_LOG_H
#define JACINTHPOND_ADAPTERS_LOG_LOG_H

#include "base/log_type.h"

#include <string>

namespace jacinthpond {

/**
 * Sends all lines to standard error.
 * @param Process Name of this process, in each line.
 * @param Level Name of the lowest level that is written.
 */
void setupLog(const std::string &Process, const std::string &Level);

/**
 * Writes one line.
 * @param Part Which part speaks.
 * @param Level How much it matters.
 * @param Text A short sentence; never a token or key of anybody.
 */
void logLine(LogPart Part, LogLevel Level, const std::string &Text);

} // namespace jacinthpond

#endif
