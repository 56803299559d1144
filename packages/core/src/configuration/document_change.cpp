/** @file document_change.cpp Compares two documents. */

#include "configuration/document_change_func.h"

#include "configuration/document_func.h"

#include <algorithm>

namespace jacinthpond {

namespace {

/** Gives the name of an element of a list. */
std::string nameOf(const Team &One) { return One.Name; }
template <typename T> std::string nameOf(const T &One) {
  return One.Name.Value;
}

/** Finds the element of a list with the same name; null when there is none. */
template <typename T>
const T *findSameName(const std::vector<T> &All, const T &Wanted) {
  const auto it = std::ranges::find_if(
      All, [&](const T &One) { return nameOf(One) == nameOf(Wanted); });
  return it == All.end() ? nullptr : &*it;
}

/** Lists the elements that were added, removed or changed, by name. */
template <typename T>
ListChange compareLists(const char *List, const std::vector<T> &Old,
                        const std::vector<T> &New) {
  ListChange Change;
  Change.List = List;
  for (const T &One : New) {
    const T *Before = findSameName(Old, One);
    if (Before == nullptr)
      Change.Added.push_back(nameOf(One));
    else if (!(*Before == One))
      Change.Changed.push_back(nameOf(One));
  }
  for (const T &One : Old)
    if (findSameName(New, One) == nullptr)
      Change.Removed.push_back(nameOf(One));
  return Change;
}

/** Lists the domains that were taken out or brought back. */
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

/** Counts the workers whose wanted weights differ between two documents. */
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

DocumentChange compareDocuments(const Document *InForce,
                                const Document &Candidate) {
  static const Document Empty;
  const Document &Old = InForce == nullptr ? Empty : *InForce;
  DocumentChange Change;
  Change.InForce = Old.Version;
  Change.Candidate = Candidate.Version;
  Change.WouldApply = Candidate.Version > Old.Version;
  Change.Lists = {compareLists("classes", Old.Classes, Candidate.Classes),
                  compareLists("tenants", Old.Workspaces, Candidate.Workspaces),
                  compareLists("models", Old.Models, Candidate.Models),
                  compareLists("workers", Old.Workers, Candidate.Workers),
                  compareLists("entries", Old.Entries, Candidate.Entries),
                  compareLists("teams", Old.Teams, Candidate.Teams),
                  compareDomains(Old.DomainsOut, Candidate.DomainsOut)};
  Change.WorkersToLoad = workersToLoad(Old, Candidate);
  return Change;
}

} // namespace jacinthpond
