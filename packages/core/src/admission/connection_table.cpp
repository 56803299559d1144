/** @file connection_table.cpp Bounds on what callers make a process hold. */

#include "admission/connection_table_func.h"

#include <algorithm>
#include <chrono>
#include <tuple>

namespace jacinthpond {

namespace {

using Row = std::pair<const ConnectionId, ConnectionLoad>;

/** Connections closed at a time: one in this number. */
constexpr size_t CloseParts = 16;

/** Order in which connections are closed when there are too many. */
enum class CloseRank : uint8_t {
  Unknown,   ///< No complete request, and no known key.
  Receiving, ///< A request of a known workspace is arriving.
  Idle,      ///< Served before; a request may be on its way.
  Sending,   ///< An answer is not read.
  Never      ///< A complete request is worked on.
};

CloseRank closeRank(const ConnectionLoad &One) {
  switch (One.Phase) {
  case ConnectionPhase::Idle:
    return One.Served ? CloseRank::Idle : CloseRank::Unknown;
  case ConnectionPhase::Receiving:
    return One.Owner ? CloseRank::Receiving : CloseRank::Unknown;
  case ConnectionPhase::Closing:
    return CloseRank::Unknown;
  case ConnectionPhase::Sending:
    return CloseRank::Sending;
  case ConnectionPhase::Working:
    break;
  }
  return CloseRank::Never;
}

/** Computes the bytes held in the phase, times how long. */
double byteSeconds(const ConnectionLoad &One, TimePoint Now) {
  const std::chrono::duration<double> Since = Now - One.CountedUntil;
  return One.ByteSeconds + static_cast<double>(One.Bytes) * Since.count();
}

/** Says whether the connection may hold what it holds. */
bool isWithinMemory(const ConnectionTable &Table, const ConnectionLoad &One) {
  const size_t Reserve = One.Bytes > SmallRequestBytes
                             ? Table.Limits.Bytes / SmallReserveParts
                             : 0;
  return Table.Bytes <= Table.Limits.Bytes - Reserve;
}

/** Says whether no other connection holds more than a small request. */
bool isOnlyLarge(const ConnectionTable &Table, ConnectionId Id) {
  return std::ranges::none_of(Table.Rows, [&](const Row &One) {
    return One.first != Id && One.second.Bytes > SmallRequestBytes;
  });
}

/** Sums up the memory of each workspace. */
std::map<WorkspaceName, size_t> bytesByOwner(const ConnectionTable &Table) {
  std::map<WorkspaceName, size_t> Held;
  for (const auto &[Id, One] : Table.Rows)
    if (One.Owner)
      Held[*One.Owner] += One.Bytes;
  return Held;
}

} // namespace

ConnectionId addConnection(ConnectionTable &Table, TimePoint Now) {
  const ConnectionId Id{Table.NextId++};
  ConnectionLoad &One = Table.Rows[Id];
  One.PhaseSince = One.CountedUntil = Now;
  return Id;
}

void removeConnection(ConnectionTable &Table, ConnectionId Id) {
  const auto it = Table.Rows.find(Id);
  if (it == Table.Rows.end())
    return;
  Table.Bytes -= it->second.Bytes;
  Table.Rows.erase(it);
}

void recordConnection(ConnectionTable &Table, ConnectionId Id,
                      ConnectionPhase Phase, size_t Bytes, TimePoint Now) {
  const auto it = Table.Rows.find(Id);
  if (it == Table.Rows.end())
    return;
  ConnectionLoad &One = it->second;
  One.ByteSeconds = byteSeconds(One, Now);
  One.CountedUntil = Now;
  if (One.Phase != Phase) {
    One.ByteSeconds = 0;
    One.PhaseSince = Now;
    if (Phase == ConnectionPhase::Idle)
      One.Owner.reset();
  }
  One.Phase = Phase;
  One.Served = One.Served || Phase == ConnectionPhase::Working;
  Table.Bytes = Table.Bytes - One.Bytes + Bytes;
  One.Bytes = Bytes;
}

void recordOwner(ConnectionTable &Table, ConnectionId Id,
                 const WorkspaceName &Owner) {
  const auto it = Table.Rows.find(Id);
  if (it != Table.Rows.end())
    it->second.Owner = Owner;
}

std::optional<ConnectionId> connectionOverMemory(const ConnectionTable &Table,
                                                 ConnectionId Grown,
                                                 TimePoint Now) {
  const auto it = Table.Rows.find(Grown);
  if (it == Table.Rows.end() || isWithinMemory(Table, it->second) ||
      isOnlyLarge(Table, Grown))
    return std::nullopt;
  const auto Held = bytesByOwner(Table);
  // The greatest key gives way.
  const auto Order = [&](const Row &One) {
    const bool Receiving = One.second.Phase == ConnectionPhase::Receiving;
    const bool Unknown = Receiving && !One.second.Owner;
    const size_t OfOwner = One.second.Owner ? Held.at(*One.second.Owner) : 0;
    return std::tuple(Receiving, Unknown, OfOwner, byteSeconds(One.second, Now),
                      One.second.Bytes);
  };
  std::optional<ConnectionId> Chosen;
  std::tuple<bool, bool, size_t, double, size_t> Most;
  for (const Row &One : Table.Rows) {
    const ConnectionPhase Phase = One.second.Phase;
    if (One.second.Bytes == 0 || (Phase != ConnectionPhase::Receiving &&
                                  Phase != ConnectionPhase::Sending))
      continue;
    const auto Key = Order(One);
    if (Chosen && Key <= Most)
      continue;
    Chosen = One.first;
    Most = Key;
  }
  return Chosen;
}

std::vector<ConnectionId> connectionsOverLimit(const ConnectionTable &Table) {
  if (Table.Rows.size() <= Table.Limits.Connections)
    return {};
  using Candidate = std::tuple<CloseRank, TimePoint, ConnectionId>;
  std::vector<Candidate> Order;
  const ConnectionId Newest = Table.Rows.rbegin()->first;
  for (const auto &[Id, One] : Table.Rows)
    if (const CloseRank Rank = closeRank(One);
        Rank != CloseRank::Never && Id != Newest)
      Order.emplace_back(Rank, One.PhaseSince, Id);
  if (Order.empty())
    return {Newest};
  std::ranges::sort(Order);
  const size_t Needed = Table.Rows.size() - Table.Limits.Connections;
  const auto Unknown = static_cast<size_t>(
      std::ranges::upper_bound(
          Order, CloseRank::Unknown, {},
          [](const Candidate &One) { return std::get<CloseRank>(One); }) -
      Order.begin());
  const size_t Batch =
      std::min(Unknown, Needed + Table.Limits.Connections / CloseParts);
  Order.resize(std::min(Order.size(), std::max(Needed, Batch)));
  std::vector<ConnectionId> Chosen(Order.size());
  std::ranges::transform(Order, Chosen.begin(), [](const Candidate &One) {
    return std::get<ConnectionId>(One);
  });
  return Chosen;
}

} // namespace jacinthpond
