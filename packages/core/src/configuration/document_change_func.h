/** @file document_change_func.h Compares two documents. */

#ifndef JACINTHPOND_CORE_DOCUMENT_CHANGE_FUNC_H
#define JACINTHPOND_CORE_DOCUMENT_CHANGE_FUNC_H

#include "configuration/document_change_type.h"
#include "configuration/document_type.h"

namespace jacinthpond {

/**
 * Works out what a candidate would change.
 * @param InForce Document in force; null counts as empty.
 * @param Candidate A valid document.
 * @return The changes.
 */
DocumentChange changeOf(const Document *InForce, const Document &Candidate);

} // namespace jacinthpond

#endif
