/** @file team_access.cpp Access of teams to the administration API. */

#include "status/team_access_func.h"

#include "base/hash_func.h"
#include "configuration/document_func.h"

#include <openssl/crypto.h>

#include <algorithm>

namespace jacinthpond {

namespace {

/** Start of an Authorization header with a token. */
constexpr std::string_view BearerPrefix = "Bearer ";
/** Longest token that is accepted, in bytes. */
constexpr size_t MaxTokenBytes = 512;

/**
 * Compares two digests in constant time. A comparison that stops at the first
 * difference would reveal by its duration how much of a guess was right.
 */
bool isSameDigest(const Digest &A, const Digest &B) {
  return A.Value.size() == B.Value.size() &&
         CRYPTO_memcmp(A.Value.data(), B.Value.data(), A.Value.size()) == 0;
}

} // namespace

Result<TeamAccess> authenticateTeam(const Document *Doc,
                                    std::string_view Authorization) {
  if (Doc == nullptr)
    return fail(ErrorKind::StaleView, "no configuration yet");
  if (!Authorization.starts_with(BearerPrefix) ||
      Authorization.size() == BearerPrefix.size())
    return fail(ErrorKind::Unauthorized, "no token");
  const std::string_view Token = Authorization.substr(BearerPrefix.size());
  if (Token.size() > MaxTokenBytes)
    return fail(ErrorKind::Unauthorized, "wrong token");
  const Digest Given = sha256(Token);
  const Team *Found = nullptr;
  for (const Team &One : Doc->Teams)
    if (isSameDigest(One.TokenDigest, Given))
      Found = &One;
  if (Found == nullptr)
    return fail(ErrorKind::Unauthorized, "wrong token");
  return TeamAccess{Found->Name, Found->Operator, Found->Classes,
                    Found->Workspaces};
}

bool canSeeClass(const TeamAccess &Access, const ClassName &Class) {
  return Access.Operator || Access.Classes.contains(Class);
}

bool canSeeWorkspace(const TeamAccess &Access, const WorkspaceName &Workspace) {
  return Access.Operator || Access.Workspaces.contains(Workspace);
}

bool canSeeWorker(const TeamAccess &Access, const Document &Doc,
                  const Worker &Host) {
  return Access.Operator ||
         std::ranges::any_of(Doc.Classes, [&](const WorkClass &Class) {
           return canSeeClass(Access, Class.Name) && servesClass(Host, Class);
         });
}

} // namespace jacinthpond
