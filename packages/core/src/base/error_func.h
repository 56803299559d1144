/** @file error_func.h Look-ups in the error table and use of LEAF. */

#ifndef JACINTHPOND_CORE_ERROR_FUNC_H
#define JACINTHPOND_CORE_ERROR_FUNC_H

#include "base/error_type.h"

#include <boost/leaf.hpp>

#include <optional>
#include <string_view>
#include <utility>

namespace jacinthpond {

/** What a function that can fail returns. */
template <typename T> using Result = boost::leaf::result<T>;

/**
 * Looks up how a kind is answered.
 * @param Kind Any kind but Count.
 * @return The row of the error table.
 */
const ErrorAnswer &answerFor(ErrorKind Kind);

/**
 * Names whether work ran, as in answers.
 * @param Executed The value to name.
 * @return "no", "yes" or "unknown".
 */
std::string_view ranName(Ran Executed);

/**
 * Works out when a caller may come back.
 * @param Why The failure.
 * @return The failure's own hint, else the table's; 0: not at all.
 */
Millis retryAfter(const Failure &Why);

/**
 * Starts a LEAF error.
 * @param Kind Row of the error table.
 * @param Detail What was found.
 * @return An error id that converts to every Result.
 */
inline boost::leaf::error_id fail(ErrorKind Kind, std::string Detail) {
  return boost::leaf::new_error(Failure{Kind, std::move(Detail), Millis{0}});
}

/** A value, or the failure that took its place. */
template <typename T> struct Outcome {
  std::optional<T> Value; ///< Set on success.
  Failure Why;            ///< Meaningful only without a value.
};

/**
 * Runs a function and catches its LEAF error as a plain value.
 * @param Body Returns Result<T>.
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
