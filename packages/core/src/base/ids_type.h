/** @file ids_type.h Strong types for identifiers. */

#ifndef JACINTHPOND_CORE_IDS_TYPE_H
#define JACINTHPOND_CORE_IDS_TYPE_H

#include <compare>
#include <cstdint>
#include <string>

namespace jacinthpond {

/** Text identifier; each tag makes a distinct type. */
template <typename Tag> struct TextId {
  std::string Value; ///< Identifier as published or sent.
  auto operator<=>(const TextId &) const = default;
  bool operator==(const TextId &) const = default;
};

/** Numeric identifier; each tag makes a distinct type. */
template <typename Tag> struct NumberId {
  uint64_t Value = 0; ///< Identifier as published or sent.
  auto operator<=>(const NumberId &) const = default;
  bool operator==(const NumberId &) const = default;
};

using HostName = TextId<struct HostNameTag>;     ///< Entry or worker.
using DomainName = TextId<struct DomainNameTag>; ///< Failure domain.
using ClassName = TextId<struct ClassNameTag>;   ///< Class of requests.
using WorkspaceName =
    TextId<struct WorkspaceNameTag>;               ///< Customer's workspace.
using ModelName = TextId<struct ModelNameTag>;     ///< Model, without version.
using ServiceName = TextId<struct ServiceNameTag>; ///< Plain service.
using RegionName = TextId<struct RegionNameTag>;   ///< Nearby domains.
using InstanceId = TextId<struct InstanceIdTag>;   ///< One run of a back end.
using Digest = TextId<struct DigestTag>;           ///< SHA-256, lower-case hex.
using PartId =
    TextId<struct PartIdTag>; ///< Part of prompts that requests share.
using AttemptId = TextId<struct AttemptIdTag>; ///< Attempt of a request.
using RequestId = TextId<struct RequestIdTag>; ///< Request of a caller.
using IdempotencyKey = TextId<struct IdempotencyKeyTag>; ///< Caller's key.
using Address = TextId<struct AddressTag>;               ///< "IP:port".

using ConfigVersion = NumberId<struct ConfigVersionTag>; ///< 0: none.
using Incarnation = NumberId<struct IncarnationTag>;     ///< New at each start.
using FencingNumber = NumberId<struct FencingNumberTag>; ///< Rises with orders.
using LinkId = NumberId<struct LinkIdTag>; ///< Link of this process.

/** Links opened by this process have ids below this, accepted ones above. */
constexpr uint64_t FirstAcceptedLink = uint64_t{1} << 32;

} // namespace jacinthpond

#endif
