/** @file home_token_func.h Home tokens, and the choice of the home of a key.
 *
 * The home of an idempotency key is the only worker that may run calls with
 * that key. It is found in one of two ways:
 * - By token: the caller sends a token that lists the possible homes with their
 *   incarnations. This takes one more request before the first call, but relies
 *   neither on clocks nor on agreement between processes. When a home is
 *   replaced, new calls with a new token run within seconds.
 * - By document: the home follows from the workers that the document lists.
 *   This takes no extra request, but a home that has restarted, or that became
 *   the home by a new document, must wait until the retry horizon has passed,
 *   and safety depends on callers that stop repeating in time.
 *
 * A shared store or a consensus group would avoid both, but there is none.
 */

#ifndef JACINTHPOND_CORE_HOME_TOKEN_FUNC_H
#define JACINTHPOND_CORE_HOME_TOKEN_FUNC_H

#include "attempts/home_token_type.h"
#include "base/error_func.h"
#include "configuration/document_type.h"

#include <string>
#include <string_view>
#include <tuple>

namespace jacinthpond {

/** Identifies a key among all classes and workspaces. */
using KeyName = std::tuple<ClassName, WorkspaceName, IdempotencyKey>;

/** Limit of homes in a token; bounds the length of its header. */
constexpr size_t MaxTokenHomes = 8;

/**
 * Encodes a token as text for a header field.
 * @param Token The token.
 * @return Text that readToken() decodes.
 */
std::string writeToken(const HomeToken &Token);

/**
 * Decodes a token that a caller sent.
 * @param Text Untrusted text.
 * @return The token; BadRequest when it is truncated or altered.
 */
Result<HomeToken> readToken(std::string_view Text);

/**
 * Gives the only process that may run a key that comes with a token.
 * @param Token The token.
 * @param Key Class, workspace and key.
 * @return One of the homes of the token.
 */
const TokenHome &homeFromToken(const HomeToken &Token, const KeyName &Key);

/**
 * Gives the home of a key that comes without a token. It depends on the
 * document only, so that entries that disagree on which workers are alive agree
 * on it.
 * @param Doc The document in force.
 * @param Key Class, workspace and key.
 * @return The worker; empty when the class has none.
 */
HostName homeFromDocument(const Document &Doc, const KeyName &Key);

} // namespace jacinthpond

#endif
