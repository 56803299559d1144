/** @file resource_shares.cpp How a process divides its memory and its
 * descriptors. */

#include "settings/resource_shares_func.h"

#include <algorithm>

namespace jacinthpond {

namespace {

constexpr size_t Megabyte = 1 << 20;
/** Memory of a process without any request, and for what no share counts. */
constexpr size_t OwnBytes = 16 * Megabyte;
/** Share of callers in the rest, in 32nds: with 256 MB, 37 requests of 4 MiB at
 * a time fit. */
constexpr size_t CallerParts = 22;
constexpr size_t Parts = 32;
/** Answers have a quarter of the memory at most, operators a 32nd. */
constexpr size_t AnswerDivisor = 4;
constexpr size_t AdministrationDivisor = 32;
/** A request may need a connection to a back end: callers have half of the
 * descriptors. */
constexpr size_t CallerConnectionDivisor = 2;
constexpr size_t AdministrationConnectionDivisor = 16;
/** Peers say who they are at once. */
constexpr size_t UnidentifiedLinkDivisor = 16;

} // namespace

ResourceShares resourceShares(const Settings &Config, size_t DescriptorLimit) {
  const size_t Memory = static_cast<size_t>(Config.MemoryMegabytes) * Megabyte;
  const size_t Descriptors =
      std::min(static_cast<size_t>(Config.FileDescriptors), DescriptorLimit);
  ResourceShares Shares;
  Shares.CallerBytes =
      (std::max(Memory, OwnBytes) - OwnBytes) / Parts * CallerParts;
  Shares.AnswerBytes =
      std::min(static_cast<size_t>(Config.AnswerMemoryMegabytes) * Megabyte,
               Memory / AnswerDivisor);
  Shares.AdministrationBytes = Memory / AdministrationDivisor;
  Shares.CallerConnections = Descriptors / CallerConnectionDivisor;
  Shares.UnidentifiedLinks = Descriptors / UnidentifiedLinkDivisor;
  Shares.AdministrationConnections =
      Descriptors / AdministrationConnectionDivisor;
  if (!Config.CallerListen.empty() && !Config.RouteListen.empty()) {
    // Each of the two listeners counts on its own.
    Shares.CallerBytes /= 2;
    Shares.CallerConnections /= 2;
  }
  return Shares;
}

} // namespace jacinthpond
