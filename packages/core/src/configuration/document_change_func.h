/** @file document_change_func.h Compares two documents. */

#ifndef JACINTHPOND_CORE_DOCUMENT_CHANGE_FUNC_H
#define JACINTHPOND_CORE_DOCUMENT_CHANGE_FUNC_H

#include "configuration/document_change_type.h"
#include "configuration/document_type.h"

namespace jacinthpond {

/**
 * Compares a candidate with the document in force.
 * @param InForce Document in force; null counts as empty.
 * @param Candidate A valid document.
 * @return What publishing the candidate would change.
 */
DocumentChange compareDocuments(const Document *InForce,
                                const Document &Candidate);

} // namespace jacinthpond

#endif
