/** @file route_match.cpp Matching requests to routes and workspaces. */

#include "forwarding/route_match_func.h"

#include "base/text_func.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>

namespace jacinthpond {

namespace {

constexpr std::string_view BearerScheme = "bearer ";

/** Gives the host name of a Host header without its port. */
std::string_view withoutPort(std::string_view Host) {
  return Host.substr(0, Host.find(':'));
}

/** Gives a text without spaces and tabs at its ends. */
std::string_view trimmed(std::string_view Text) {
  constexpr std::string_view Blank = " \t";
  const size_t First = Text.find_first_not_of(Blank);
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(Blank) - First + 1);
}

} // namespace

std::string normalizedHost(std::string_view Host) {
  return toLowerCase(withoutPort(trimmed(Host)));
}

RouteIndex makeRouteIndex(const Document &Doc) {
  RouteIndex Index;
  for (const Route &One : Doc.Routes)
    Index.ByHost[normalizedHost(One.Host)].push_back(&One);
  for (auto &[Host, Routes] : Index.ByHost)
    std::ranges::stable_sort(Routes, std::greater<>{}, [](const Route *One) {
      return One->Prefix.size();
    });
  for (const Workspace &One : Doc.Workspaces)
    for (const std::string &Key : One.Keys)
      Index.ByKey[Key] = &One;
  Index.KeysRequired = !Doc.Workspaces.empty();
  return Index;
}

const Route *matchRoute(const RouteIndex &Index, std::string_view Host,
                        std::string_view Target) {
  const auto it = Index.ByHost.find(normalizedHost(Host));
  if (it == Index.ByHost.end())
    return nullptr;
  const std::string_view Path = Target.substr(0, Target.find('?'));
  const auto Found = std::ranges::find_if(it->second, [&](const Route *One) {
    return Path.starts_with(One->Prefix);
  });
  return Found == it->second.end() ? nullptr : *Found;
}

const ServiceName &chooseTarget(const Route &Matched, uint64_t Hash) {
  double Sum = 0;
  for (const RouteTarget &One : Matched.Targets)
    Sum += One.Weight;
  if (Sum <= 0)
    return Matched.Targets.front().Service;
  constexpr int FractionBits = std::numeric_limits<double>::digits;
  const uint64_t Fraction = Hash >> (64U - FractionBits);
  double Point = std::ldexp(Sum * static_cast<double>(Fraction), -FractionBits);
  const RouteTarget *Chosen = nullptr;
  for (const RouteTarget &One : Matched.Targets) {
    if (One.Weight <= 0)
      continue;
    Chosen = &One; // Rounding may leave a rest beyond the last one.
    if (Point < One.Weight)
      break;
    Point -= One.Weight;
  }
  return Chosen->Service;
}

const Workspace *matchWorkspace(const RouteIndex &Index,
                                std::string_view Authorization) {
  const std::string_view Value = trimmed(Authorization);
  const std::string Scheme = toLowerCase(Value.substr(0, BearerScheme.size()));
  if (Scheme != BearerScheme)
    return nullptr;
  const auto it =
      Index.ByKey.find(std::string(trimmed(Value.substr(BearerScheme.size()))));
  return it == Index.ByKey.end() ? nullptr : it->second;
}

} // namespace jacinthpond
