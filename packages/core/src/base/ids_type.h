/** @file ids_type.h Strong types for the identifiers that cross the system. */

#ifndef JACINTHPOND_CORE_IDS_TYPE_H
#define JACINTHPOND_CORE_IDS_TYPE_H

#include <compare>
#include <cstdint>
#include <string>

namespace jacinthpond {

/** A text identifier that cannot be mixed up with one of another kind. */
template <typename Tag> struct TextId {
  std::string Value; ///< The identifier as published or sent.
  auto operator<=>(const TextId &) const = default;
  bool operator==(const TextId &) const = default;
};

/** A number that cannot be mixed up with one of another kind. */
template <typename Tag> struct NumberId {
  uint64_t Value = 0; ///< The number as published or sent.
  auto operator<=>(const NumberId &) const = default;
  bool operator==(const NumberId &) const = default;
};

using HostName = TextId<struct HostNameTag>;       ///< An entry or worker.
using DomainName = TextId<struct DomainNameTag>;   ///< A failure domain.
using ClassName = TextId<struct ClassNameTag>;     ///< A class of work.
using TenantName = TextId<struct TenantNameTag>;   ///< A customer's workspace.
using ModelName = TextId<struct ModelNameTag>;     ///< A model, any version.
using ServiceName = TextId<struct ServiceNameTag>; ///< A plain service.
using RegionName = TextId<struct RegionNameTag>;   ///< Domains close together.
using InstanceId = TextId<struct InstanceIdTag>;   ///< One run of a back end.
using Digest = TextId<struct DigestTag>;           ///< SHA-256, lower-case hex.
using AttemptId = TextId<struct AttemptIdTag>;     ///< One try of one request.
using RequestId = TextId<struct RequestIdTag>;     ///< One caller's request.
using IdempotencyKey = TextId<struct IdempotencyKeyTag>; ///< Caller's key.
using Address = TextId<struct AddressTag>;               ///< "IP:port".

using ConfigVersion = NumberId<struct ConfigVersionTag>; ///< 0: none yet.
using Incarnation = NumberId<struct IncarnationTag>; ///< Random at each start.
using FencingNumber = NumberId<struct FencingNumberTag>; ///< Rises per order.
using LinkId = NumberId<struct LinkIdTag>; ///< A connection of this process.

/** Links opened by this process have ids below this, accepted ones above. */
constexpr uint64_t FirstAcceptedLink = uint64_t{1} << 32;

} // namespace jacinthpond

#endif
