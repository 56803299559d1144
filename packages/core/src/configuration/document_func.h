/** @file document_func.h Validates documents, looks up their elements. */

#ifndef JACINTHPOND_CORE_DOCUMENT_FUNC_H
#define JACINTHPOND_CORE_DOCUMENT_FUNC_H

#include "base/error_func.h"
#include "configuration/document_type.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace jacinthpond {

/** Largest document accepted, in bytes: enough for the routes and workers of a
 * large fleet. */
constexpr size_t MaxDocumentBytes = 8 << 20;
/** Most servers or workers of a document; well above the fleet size that the
 * system is designed for. */
constexpr size_t MaxDocumentServers = 8000;
/** Largest number in routes, services, workspaces and limits of a generated
 * document: what their types hold. */
constexpr int64_t MaxGeneratedNumber = UINT32_MAX;

/** Where the values of a document come from. */
enum class DocumentOrigin : uint8_t {
  Written,  ///< A person wrote them; unusual ones are mistakes.
  Generated ///< A program took them over from a configuration of another form.
};

/** Parts of a document that can be checked one by one. */
enum class DocumentPart : uint8_t {
  Route,
  Service,
  Workspace,
  Model,
  Domain,
  Server,
  Worker,
  Limits, ///< The limits on callers.
  Count   ///< Number of values; not a value.
};

/**
 * Gives how many parts of a kind a document may have.
 * @param Part Which part.
 * @param Origin Origin of the document.
 * @return The number.
 */
size_t maxParts(DocumentPart Part, DocumentOrigin Origin);

/**
 * Checks a part of a document in the same way as parseDocument(), but for
 * references to other parts and names that occur twice.
 * @param Part Which part.
 * @param Value The part.
 * @param Origin Origin of the document that it is meant for.
 * @return All faults, one per line; empty: it is valid.
 */
std::string partErrors(DocumentPart Part, const nlohmann::json &Value,
                       DocumentOrigin Origin);

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
