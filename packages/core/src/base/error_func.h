/** @file error_func.h Error table lookups and helpers for Boost.LEAF. */

#ifndef JACINTHPOND_CORE_ERROR_FUNC_H
#define JACINTHPOND_CORE_ERROR_FUNC_H

#include "base/error_type.h"

#include <boost/leaf.hpp>

#include <optional>
#include <string_view>
#include <utility>

namespace jacinthpond {

/** Return type of functions that can fail. */
template <typename T> using Result = boost::leaf::result<T>;

/**
 * Looks up the error table row of an error kind.
 * @param Kind Any kind except Count.
 * @return The row of the error table.
 */
const ErrorAnswer &errorAnswerFor(ErrorKind Kind);

/**
 * Converts a Ran value to the text used in answers.
 * @param Executed The value.
 * @return "no", "yes" or "unknown".
 */
std::string_view ranName(Ran Executed);

/**
 * Returns the retry delay for a failure.
 * @param Why The failure.
 * @return The delay set in the failure, else the default of the error table; 0:
 *         do not retry.
 */
Millis retryAfter(const Failure &Why);

/**
 * Creates a LEAF error that carries a Failure.
 * @param Kind Row of the error table.
 * @param Detail Description of the specific error.
 * @return An error id that converts to every Result.
 */
inline boost::leaf::error_id fail(ErrorKind Kind, std::string Detail) {
  return boost::leaf::new_error(Failure{Kind, std::move(Detail), Millis{0}});
}

/** A value, or the failure that prevented it. */
template <typename T> struct Outcome {
  std::optional<T> Value; ///< Set on success.
  Failure Why;            ///< Meaningful only without a value.
};

/**
 * Calls a function and converts its LEAF result to an Outcome.
 * @param Body Function that returns Result<T>.
 * @return The value or the failure.
 */
template <typename Function> auto outcomeOf(Function &&Body) {
  using T = std::decay_t<decltype(Body().value())>;
  return boost::leaf::try_handle_all(
      [&]() -> Result<Outcome<T>> {
        auto Value = Body();
        if (!Value)
          return Value.error();
        return Outcome<T>{std::move(Value.value()), {}};
      },
      [](const Failure &Why) {
        return Outcome<T>{std::nullopt, Why};
      },
      [] {
        return Outcome<T>{std::nullopt, Failure{}};
      });
}

} // namespace jacinthpond

#endif
