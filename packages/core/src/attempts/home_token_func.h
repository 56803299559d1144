/** @file home_token_func.h Home tokens, and the home of a key.
 *
 * Two ways to find the one worker that may run a key:
 * - By token: the caller carries the homes with their incarnations. Costs one
 *   more question before the first try; needs no clock and no agreement; keys
 *   run again seconds after a home was replaced, under a new token.
 * - By the published list: no question; but a home that restarted, or got its
 *   keys by a new list, must wait out the retry horizon, and safety rests on
 *   callers that stop repeating in time.
 * A shared store or a consensus group would need neither; there is none.
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

/** Names a key among all classes and tenants. */
using KeyName = std::tuple<ClassName, TenantName, IdempotencyKey>;

/** Homes in a token at most; bounds its length in a header. */
constexpr size_t MaxTokenHomes = 8;

/**
 * Writes a token as text that fits into a header.
 * @param Token The token.
 * @return Text that readToken() takes.
 */
std::string writeToken(const HomeToken &Token);

/**
 * Reads a token as a caller sent it.
 * @param Text Not trusted.
 * @return The token, or BadRequest for one that is cut or changed.
 */
Result<HomeToken> readToken(std::string_view Text);

/**
 * Gives the only process that may run a key under a token.
 * @param Token The token.
 * @param Key Class, tenant and key.
 * @return One of the token's homes.
 */
const TokenHome &homeInToken(const HomeToken &Token, const KeyName &Key);

/**
 * Gives the home of a key that came without a token. It follows published data
 * only: two entries that disagree on who is alive agree on the home.
 * @param Doc The document in force.
 * @param Key Class, tenant and key.
 * @return The worker; empty when the class has none.
 */
HostName homeByList(const Document &Doc, const KeyName &Key);

} // namespace jacinthpond

#endif
