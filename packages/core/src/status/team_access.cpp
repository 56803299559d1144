/** @file team_access.cpp Tokens of teams and what they open. */

#include "status/team_access_func.h"

#include "base/hash_func.h"
#include "configuration/document_func.h"

#include <openssl/crypto.h>

#include <algorithm>

namespace jacinthpond {

namespace {

constexpr std::string_view Scheme = "Bearer ";
/** Longest token that is looked at, in bytes. */
constexpr size_t MaxTokenBytes = 512;

/**
 * Compares without an early end. A comparison that stops at the first
 * difference tells by its time how much of a guess was right.
 */
bool sameDigest(const Digest &A, const Digest &B) {
  return A.Value.size() == B.Value.size() &&
         CRYPTO_memcmp(A.Value.data(), B.Value.data(), A.Value.size()) == 0;
}

} // namespace

Result<TeamAccess> accessOf(const Document *Doc,
                            std::string_view Authorization) {
  if (Doc == nullptr)
    return fail(ErrorKind::StaleView, "no configuration yet");
  if (!Authorization.starts_with(Scheme) ||
      Authorization.size() == Scheme.size())
    return fail(ErrorKind::Unauthorized, "no token");
  const std::string_view Token = Authorization.substr(Scheme.size());
  if (Token.size() > MaxTokenBytes)
    return fail(ErrorKind::Unauthorized, "wrong token");
  const Digest Given = sha256(Token);
  const Team *Found = nullptr;
  for (const Team &One : Doc->Teams)
    if (sameDigest(One.TokenDigest, Given))
      Found = &One;
  if (Found == nullptr)
    return fail(ErrorKind::Unauthorized, "wrong token");
  return TeamAccess{Found->Name, Found->Operator, Found->Classes,
                    Found->Tenants};
}

bool seesClass(const TeamAccess &Access, const ClassName &Class) {
  return Access.Operator || Access.Classes.contains(Class);
}

bool seesTenant(const TeamAccess &Access, const TenantName &Tenant) {
  return Access.Operator || Access.Tenants.contains(Tenant);
}

bool seesWorker(const TeamAccess &Access, const Document &Doc,
                const Worker &Host) {
  return Access.Operator ||
         std::ranges::any_of(Doc.Classes, [&](const WorkClass &Class) {
           return seesClass(Access, Class.Name) && servesClass(Host, Class);
         });
}

} // namespace jacinthpond
