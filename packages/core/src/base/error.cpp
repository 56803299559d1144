/** @file error.cpp Error table lookups. */

#include "base/error_func.h"

#include "table/error_table.h"

namespace jacinthpond {

const ErrorAnswer &errorAnswerFor(ErrorKind Kind) {
  return ErrorTable.at(static_cast<size_t>(Kind));
}

std::string_view ranName(Ran Executed) {
  switch (Executed) {
  case Ran::No:
    return "no";
  case Ran::Yes:
    return "yes";
  case Ran::Unknown:
    return "unknown";
  }
  return "unknown";
}

Millis retryAfter(const Failure &Why) {
  if (Why.RetryAfter.count() > 0)
    return Why.RetryAfter;
  return Millis{errorAnswerFor(Why.Kind).RetryAfterMillis};
}

} // namespace jacinthpond
