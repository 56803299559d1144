/** @file document_func.h Validates documents, looks up their elements. */

#ifndef JACINTHPOND_CORE_DOCUMENT_FUNC_H
#define JACINTHPOND_CORE_DOCUMENT_FUNC_H

#include "base/error_func.h"
#include "configuration/document_type.h"

#include <string_view>

namespace jacinthpond {

/**
 * Parses and validates a published document. The result depends on the text
 * alone, so that all processes accept the same documents.
 * @param Text JSON with comments; not trusted.
 * @return The document, or ErrorKind::InvalidDocument with all faults, one
 *         per line: path, what was found, what is allowed.
 */
Result<DocumentPtr> parseDocument(std::string_view Text);

/**
 * Computes the digest that identifies a set of weights.
 * @param Chunks Digests of its chunks, in order.
 * @return SHA-256 over the concatenated hex digests.
 */
Digest weightsSetDigest(const std::vector<Digest> &Chunks);

/**
 * Gives the identifier of a set of weights whose chunk list is read from its
 * origin. The publisher guarantees that a version of a model never changes.
 * @param Model The model.
 * @param Version Its version.
 * @return "MODEL@VERSION", in place of a digest over the chunks.
 */
Digest publishedWeightsId(const ModelName &Model, const std::string &Version);

/**
 * Finds a class of work.
 * @param Doc The document.
 * @param Name Name of the class.
 * @return The class, or null.
 */
const WorkClass *findClass(const Document &Doc, const ClassName &Name);

/**
 * Finds the wanted version of a model.
 * @param Doc The document.
 * @param Name Name of the model.
 * @return The version, or null.
 */
const ModelVersion *findModel(const Document &Doc, const ModelName &Name);

/**
 * Finds a worker.
 * @param Doc The document.
 * @param Name Name of the host.
 * @return The worker, or null.
 */
const Worker *findWorker(const Document &Doc, const HostName &Name);

/**
 * Says whether a worker's back end serves a class.
 * @param Host The worker.
 * @param Class The class.
 * @return True when the worker runs the model or service of the class.
 */
bool servesClass(const Worker &Host, const WorkClass &Class);

/**
 * Lists the workers of a class, in document order.
 * @param Doc The document.
 * @param Class The class.
 * @return Pointers into the document.
 */
std::vector<const Worker *> workersOf(const Document &Doc,
                                      const WorkClass &Class);

} // namespace jacinthpond

#endif
