/** @file left_out_type.h Parts of a configuration that can't be used. */

#ifndef JACINTHPOND_CORE_LEFT_OUT_TYPE_H
#define JACINTHPOND_CORE_LEFT_OUT_TYPE_H

#include <cstddef>
#include <string>
#include <vector>

namespace jacinthpond {

/** A part of the published configuration that is left out of the document. */
struct LeftOutPart {
  std::string Where; ///< Which part, such as a key of the store.
  std::string Why;   ///< What is wrong with it; no secrets.

  bool operator==(const LeftOutPart &) const = default;
};

/** All parts that are left out of a document. */
struct LeftOutParts {
  size_t Count = 0;               ///< How many there are.
  std::vector<LeftOutPart> First; ///< The first MaxListedLeftOut of them.
};

/** Longest list of parts that are left out: another program may write any
 * number of invalid ones. */
constexpr size_t MaxListedLeftOut = 32;

} // namespace jacinthpond

#endif
