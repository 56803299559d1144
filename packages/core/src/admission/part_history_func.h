/** @file part_history_func.h Parts of prompts with which answers were begun.
 *
 * A part that many requests share is under way at each crash, whatever causes
 * it. It is told from one that crashes back ends by the answers that go on
 * being begun with it: how long there may be none depends on how often there
 * were.
 */

#ifndef JACINTHPOND_CORE_PART_HISTORY_FUNC_H
#define JACINTHPOND_CORE_PART_HISTORY_FUNC_H

#include "admission/part_history_type.h"

#include <cstddef>

namespace jacinthpond {

/** Time after its first byte from which an answer counts as begun: a back end
 * that crashes on it has ended by then. */
constexpr Millis AnswerBegunAfter{250};
/** Time after the latest begin for which a part is remembered. */
constexpr std::chrono::seconds PartLifetime{20};

/**
 * Records an answer that went on for AnswerBegunAfter, or to its end.
 * @param History State to change.
 * @param Part Digest of a part of the request's prompt.
 * @param BegunAt When its first byte came.
 * @param Now Current time.
 */
void recordBegun(PartHistory &History, const Digest &Part, TimePoint BegunAt,
                 TimePoint Now);

/**
 * Says whether an answer with a part has begun since some time.
 * @param History The state.
 * @param Part Digest of the part.
 * @param Since The time.
 * @return Whether one is recorded.
 */
bool hasBegunSince(const PartHistory &History, const Digest &Part,
                   TimePoint Since);

/**
 * Says whether it means nothing that no answer with a part was begun for a
 * while: there were enough of them before, and the while is short for that.
 * @param History The state.
 * @param Part Digest of the part.
 * @param Since Begin of the while.
 * @param Crashes Crashes since then at which requests with the part were under
 * way.
 * @param Now Current time.
 * @return False for a part that was rare here.
 */
bool isSilenceUsual(const PartHistory &History, const Digest &Part,
                    TimePoint Since, size_t Crashes, TimePoint Now);

/**
 * Forgets parts with which no answer was begun for long.
 * @param History State to change.
 * @param Keep Map with the parts that are kept nevertheless.
 * @param Now Current time.
 */
template <typename Value>
void dropIdleParts(PartHistory &History, const std::map<Digest, Value> &Keep,
                   TimePoint Now) {
  std::erase_if(History.Parts, [&](const auto &Row) {
    return Now - Row.second.LastBegun >= PartLifetime &&
           !Keep.contains(Row.first);
  });
}

} // namespace jacinthpond

#endif
