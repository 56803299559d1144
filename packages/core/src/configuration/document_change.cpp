/** @file document_change.cpp Compares two documents. */

#include "configuration/document_change_func.h"

#include "configuration/document_func.h"

#include <algorithm>

namespace jacinthpond {

namespace {

std::string nameOf(const Team &One) { return One.Name; }
template <typename T> std::string nameOf(const T &One) {
  return One.Name.Value;
}

template <typename T>
const T *sameName(const std::vector<T> &All, const T &Wanted) {
  const auto it = std::ranges::find_if(
      All, [&](const T &One) { return nameOf(One) == nameOf(Wanted); });
  return it == All.end() ? nullptr : &*it;
}

template <typename T>
ListChange compare(const char *List, const std::vector<T> &Old,
                   const std::vector<T> &New) {
  ListChange Change;
  Change.List = List;
  for (const T &One : New) {
    const T *Before = sameName(Old, One);
    if (Before == nullptr)
      Change.Added.push_back(nameOf(One));
    else if (!(*Before == One))
      Change.Changed.push_back(nameOf(One));
  }
  for (const T &One : Old)
    if (sameName(New, One) == nullptr)
      Change.Removed.push_back(nameOf(One));
  return Change;
}

ListChange compareDomains(const std::set<DomainName> &Old,
                          const std::set<DomainName> &New) {
  ListChange Change;
  Change.List = "domains_out";
  for (const DomainName &One : New)
    if (!Old.contains(One))
      Change.Added.push_back(One.Value);
  for (const DomainName &One : Old)
    if (!New.contains(One))
      Change.Removed.push_back(One.Value);
  return Change;
}

uint32_t workersToLoad(const Document &Old, const Document &New) {
  return static_cast<uint32_t>(
      std::ranges::count_if(New.Workers, [&](const Worker &Host) {
        const ModelVersion *Wanted = findModel(New, Host.Model);
        const Worker *Before = findWorker(Old, Host.Name);
        const ModelVersion *Had =
            Before == nullptr ? nullptr : findModel(Old, Before->Model);
        return Wanted != nullptr && (Had == nullptr || Had->Set != Wanted->Set);
      }));
}

} // namespace

DocumentChange changeOf(const Document *InForce, const Document &Candidate) {
  static const Document Empty;
  const Document &Old = InForce == nullptr ? Empty : *InForce;
  DocumentChange Change;
  Change.InForce = Old.Version;
  Change.Candidate = Candidate.Version;
  Change.WouldApply = Candidate.Version > Old.Version;
  Change.Lists = {compare("classes", Old.Classes, Candidate.Classes),
                  compare("tenants", Old.Tenants, Candidate.Tenants),
                  compare("models", Old.Models, Candidate.Models),
                  compare("workers", Old.Workers, Candidate.Workers),
                  compare("entries", Old.Entries, Candidate.Entries),
                  compare("teams", Old.Teams, Candidate.Teams),
                  compareDomains(Old.DomainsOut, Candidate.DomainsOut)};
  Change.WorkersToLoad = workersToLoad(Old, Candidate);
  return Change;
}

} // namespace jacinthpond
