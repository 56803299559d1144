/** @file document_change_type.h What a candidate document would change. */

#ifndef JACINTHPOND_CORE_DOCUMENT_CHANGE_TYPE_H
#define JACINTHPOND_CORE_DOCUMENT_CHANGE_TYPE_H

#include "base/ids_type.h"

#include <string>
#include <vector>

namespace jacinthpond {

/** Changes of one list of the document. */
struct ListChange {
  std::string List;                 ///< Its key, such as "classes".
  std::vector<std::string> Added;   ///< Names only in the candidate.
  std::vector<std::string> Removed; ///< Names only in the document in force.
  std::vector<std::string> Changed; ///< Names whose content differs.
};

/** What publishing a candidate would do. */
struct DocumentChange {
  ConfigVersion InForce;         ///< Version in force; 0: none.
  ConfigVersion Candidate;       ///< Version of the candidate.
  bool WouldApply = false;       ///< Its version is above that in force.
  std::vector<ListChange> Lists; ///< One row for each list, all lists.
  uint32_t WorkersToLoad = 0;    ///< Workers that would get new weights.
};

} // namespace jacinthpond

#endif
